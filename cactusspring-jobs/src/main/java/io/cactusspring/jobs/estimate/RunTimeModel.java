package io.cactusspring.jobs.estimate;

import io.cactusspring.jobs.estimate.ExecutorSpeeds.Sample;
import io.cactusspring.jobs.model.StepId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Learns from ended runs how long the tasks of each queue take and how fast executors are.
 *
 * <p>Tasks of one step share the error of their estimate, so differences between them are due to
 * their executors. They are compared when the step is complete. Memory is bounded by the number of
 * executors, queues and incomplete steps. Instances are not thread-safe.
 *
 * @since 0.2
 */
public final class RunTimeModel {
  /** Tasks of one step that are compared with each other; wider steps are split. */
  private static final int MAX_SISTERS = 32;

  /** Bounds on memory; the oldest entries are dropped. */
  private static final int MAX_STEPS = 4_096;

  private static final int MAX_QUEUES = 256;

  /** The owner sends the factors to every host several times a second. */
  private static final int MAX_SHARED_LABELS = 64;

  private final ExecutorSpeeds speeds;
  private final Map<String, EstimateRegression> regressions = new HashMap<>();
  private final Map<StepId, Sisters> steps =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<StepId, Sisters> eldest) {
          return size() > MAX_STEPS;
        }
      };

  /** The observed tasks of a step that is not complete yet. */
  private static final class Sisters {
    private final String queue;
    private final long estimateMillis;
    private final List<Sample> samples = new ArrayList<>();
    private boolean estimateLearned;

    Sisters(Observation first) {
      queue = first.queue();
      estimateMillis = first.estimateMillis();
    }
  }

  /**
   * The duration of tasks on the executors with a label, relative to a normal executor.
   *
   * @param observations number of runs that the factor is based on, besides an inherited one
   */
  public record LabelFactor(String label, double factor, long observations) {}

  /** Creates a model that knows nothing. */
  public RunTimeModel() {
    this(Map.of());
  }

  /**
   * Creates a model that starts with the label factors of another one, which count as a few
   * observations.
   */
  public RunTimeModel(Map<String, Double> labelFactors) {
    speeds = new ExecutorSpeeds(labelFactors);
  }

  /** Records an executor's boot and labels. A new boot may be another machine. */
  public void executorListed(String id, long bootMillis, Set<String> labels) {
    speeds.listed(id, bootMillis, labels);
  }

  /** Drops an executor. */
  public void executorRemoved(String id) {
    speeds.removed(id);
  }

  /** Records a completed run. It takes effect when its step is complete. */
  public void observe(Observation run) {
    Sisters sisters = steps.computeIfAbsent(run.step(), k -> new Sisters(run));
    sisters.samples.add(
        new Sample(run.executor(), run.bootMillis(), run.labels(), run.logMillis()));
    if (sisters.samples.size() == MAX_SISTERS) {
      learn(sisters);
    }
  }

  /** Learns from the runs of a step, of which no more will be observed. */
  public void stepEnded(StepId step) {
    Sisters sisters = steps.remove(step);
    if (sisters != null && !sisters.samples.isEmpty()) {
      learn(sisters);
    }
  }

  private void learn(Sisters sisters) {
    double logMillis = speeds.learn(sisters.samples);
    sisters.samples.clear();
    // A wide step has one estimate and counts once.
    if (!sisters.estimateLearned) {
      sisters.estimateLearned = true;
      regression(sisters.queue).ifPresent(r -> r.observe(sisters.estimateMillis, logMillis));
    }
  }

  private Optional<EstimateRegression> regression(String queue) {
    return regressions.size() < MAX_QUEUES || regressions.containsKey(queue)
        ? Optional.of(regressions.computeIfAbsent(queue, k -> new EstimateRegression()))
        : Optional.empty();
  }

  /** Returns whether any step of a queue was observed. */
  public boolean hasObservations(String queue) {
    return regressions.containsKey(queue);
  }

  /** Returns the expected duration of a task on a normal executor, given its declared estimate. */
  public double expectedMillis(String queue, long estimateMillis) {
    EstimateRegression regression = regressions.get(queue);
    return regression == null ? estimateMillis : regression.expectedMillis(estimateMillis);
  }

  /** Returns the duration of tasks on an executor relative to a normal one; 1 if unknown. */
  public double factor(String executor, long bootMillis, Set<String> labels) {
    return speeds.factor(executor, bootMillis, labels);
  }

  /** Returns whether two labels are known to differ by a quarter or more. */
  public boolean unequal() {
    return speeds.unequal();
  }

  /** Returns the standard deviation of the logarithmic durations of the tasks of one step. */
  public double spread() {
    return speeds.spread();
  }

  /** Returns the known label factors. */
  public List<LabelFactor> labelFactors() {
    return speeds.known().toList();
  }

  /** Returns the known factors of the labels that most executors have, for another model. */
  public Map<String, Double> sharedFactors() {
    return speeds.labelFactors(MAX_SHARED_LABELS);
  }

  /** Returns the number of steps whose observed runs are held. */
  int heldSteps() {
    return steps.size();
  }
}
