package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.estimate.Observation;
import io.cactusspring.jobs.estimate.RunTimeModel;
import io.cactusspring.jobs.estimate.RunTimeModel.LabelFactor;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.HashMap;
import java.util.Map;

/** Durations that are learned from ended runs, and the log of what was learned. */
final class LearnedDurations implements Durations {
  /** A smaller change of a factor decides about few jobs and is not worth a line. */
  private static final double LOGGED_CHANGE = Math.log(1.1);

  /** Bounds the log while a factor settles. */
  private static final long LOG_INTERVAL_MILLIS = 5_000;

  /**
   * Number of standard deviations that the slowest of the 10 to 20 tasks of a usual step is above
   * the mean.
   */
  private static final double MARGIN_DEVIATIONS = 2;

  /** A larger spread is not due to the tasks; it would send all work to the fastest executors. */
  private static final double MAX_SPREAD = 0.35;

  private final SchedulerSettings settings;
  private final DecisionListener decisionListener;
  private final Map<String, Logged> logged = new HashMap<>();
  private RunTimeModel model = new RunTimeModel();

  /** The factor of a label that was logged last. */
  private record Logged(double factor, long at) {}

  LearnedDurations(SchedulerSettings settings, DecisionListener decisionListener) {
    this.settings = settings;
    this.decisionListener = decisionListener;
  }

  /** Starts anew with the label factors of the previous owner. */
  void inherit(Map<String, Double> labelFactors) {
    model = new RunTimeModel(labelFactors);
  }

  /** Returns the factors that a later owner may start with. */
  Map<String, Double> sharedFactors() {
    return model.sharedFactors();
  }

  @Override
  public double expectedMillis(String queue, StepSpec step) {
    return settings.uses(Mechanism.ESTIMATE_CORRECTION)
        ? model.expectedMillis(queue, step.estimateMillis())
        : step.estimateMillis();
  }

  @Override
  public boolean hasObservations(String queue) {
    return settings.uses(Mechanism.ESTIMATE_CORRECTION) && model.hasObservations(queue);
  }

  @Override
  public double factor(LiveExecutor executor) {
    return executor.isCallable() && settings.uses(Mechanism.EXECUTOR_SPEEDS)
        ? model.factor(executor.id(), executor.bootMillis(), executor.labels())
        : 1;
  }

  @Override
  public double spreadMargin() {
    return Math.exp(MARGIN_DEVIATIONS * Math.min(MAX_SPREAD, model.spread()));
  }

  @Override
  public boolean unequal() {
    return settings.uses(Mechanism.EXECUTOR_SPEEDS) && model.unequal();
  }

  void executorListed(LiveExecutor executor) {
    model.executorListed(executor.id(), executor.bootMillis(), executor.labels());
  }

  void executorRemoved(LiveExecutor executor) {
    model.executorRemoved(executor.id());
  }

  /** Records a run of a task that has ended as done. */
  void observe(LiveTask task, LiveExecutor executor, Run run, long now) {
    if (run.isMeasured() && executor.isCallable()) {
      model.observe(
          new Observation(
              task.step().job().spec().queue().name(),
              task.step().id(),
              task.step().spec().estimateMillis(),
              executor.id(),
              executor.bootMillis(),
              executor.labels(),
              now - run.phaseAt()));
    }
  }

  /** Records that no more runs of a step will be observed. */
  void stepEnded(LiveStep step, long now) {
    model.stepEnded(step.id());
    model.labelFactors().forEach(f -> log(f, now));
  }

  /** Records that no more runs of an unfinished job will be observed. */
  void jobEnded(LiveJob job) {
    job.steps().forEach(s -> model.stepAbandoned(s.id()));
  }

  private void log(LabelFactor factor, long now) {
    Logged last = logged.getOrDefault(factor.label(), new Logged(1, now - LOG_INTERVAL_MILLIS));
    boolean changed = Math.abs(Math.log(factor.factor() / last.factor)) > LOGGED_CHANGE;
    if (changed && now - last.at >= LOG_INTERVAL_MILLIS) {
      logged.put(factor.label(), new Logged(factor.factor(), now));
      decisionListener.decisionMade(
          Kind.SPEED_LEARNED,
          "",
          factor.label(),
          "factor %.2f after %d observations".formatted(factor.factor(), factor.observations()));
    }
  }
}
