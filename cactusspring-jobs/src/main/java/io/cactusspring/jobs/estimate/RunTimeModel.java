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
  /** Bound on the memory of one step; a wider one is represented by a part of its tasks. */
  private static final int MAX_SISTERS = 512;

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
    private int observed;

    Sisters(Observation first) {
      queue = first.queue();
      estimateMillis = first.estimateMillis();
    }

    void add(Sample sample) {
      if (samples.size() < MAX_SISTERS) {
        samples.add(sample);
      } else {
        // Tasks end in the order of their durations, so early ones must not be kept only.
        samples.set(observed % MAX_SISTERS, sample);
      }
      observed++;
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
    steps
        .computeIfAbsent(run.step(), k -> new Sisters(run))
        .add(new Sample(run.executor(), run.bootMillis(), run.labels(), run.logMillis()));
  }

  /** Learns from the runs of a step that is complete. */
  public void stepEnded(StepId step) {
    Sisters sisters = steps.remove(step);
    if (sisters != null) {
      double logMillis = speeds.learn(sisters.samples);
      regression(sisters.queue).ifPresent(r -> r.observe(sisters.estimateMillis, logMillis));
    }
  }

  /**
   * Drops the runs of a step that will not be complete. Those that have ended are its shortest, so
   * they would make the queue and their executors appear fast.
   */
  public void stepAbandoned(StepId step) {
    steps.remove(step);
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
