package io.cactusspring.jobs.estimate;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Duration factors of executors: the sum, on the logarithmic scale, of the factor of a label and of
 * the executor's own deviation from it.
 */
final class ExecutorSpeeds {
  /**
   * Bound on the deviation of a task from the median of its sisters, as a logarithm. It is above
   * the ratio of the slowest to the fastest kind of executors seen (2.4); what exceeds it is a task
   * that hung or a report that was late.
   */
  private static final double MAX_DEVIATION = 1.0;

  /** No executor is credibly faster or slower than this; bounds inherited factors as well. */
  private static final double MAX_FACTOR = 20;

  /** A smaller difference does not change which jobs are in time. */
  private static final double UNEQUAL_RATIO = 1.25;

  /** Below the other ratio, so that a difference near it does not switch at every run end. */
  private static final double EQUAL_RATIO = 1.15;

  /** Multiple of the standard error that a difference between labels must exceed. */
  private static final double SIGNIFICANCE = 4;

  private static final double INITIAL_SPREAD = 0.2;
  private static final double SPREAD_GAIN = 0.02;

  /** Bound on memory; more labels than a large site has racks. */
  private static final int MAX_LABELS = 256;

  private final Map<String, Executor> executors = new HashMap<>();
  private final Map<String, Integer> executorsByLabel = new HashMap<>();
  private final Map<String, LabelSpeed> labels = new LinkedHashMap<>();
  private double spreadSquared = INITIAL_SPREAD * INITIAL_SPREAD;

  /** Added to all stored logarithms, so that the mean factor of the executors is 1. */
  private double offset;

  private boolean unequal;
  private long unequalRevision = -1;
  private long unequalPopulation = -1;

  /** Number of changes of the set of executors or their labels. */
  private long population;

  /** Number of changes of label factors. */
  private long revision;

  /** An executor as it is listed, and what is known of its boot. */
  private static final class Executor {
    private Set<String> labels = Set.of();
    private long boot;
    private ExecutorSpeed speed = new ExecutorSpeed();
    private String prior = "";
    private long priorPopulation = -1;
    private double factor = 1;
    private long factorRevision = -1;

    void rebooted(long newBoot) {
      boot = newBoot;
      speed = new ExecutorSpeed();
      factorRevision = -1;
    }
  }

  /** A task's logarithmic duration, with the executor that ran it. */
  record Sample(String executor, long bootMillis, Set<String> labels, double logMillis) {}

  /**
   * @param inherited label factors that a previous owner learned
   */
  ExecutorSpeeds(Map<String, Double> inherited) {
    inherited.entrySet().stream()
        .filter(e -> Double.isFinite(e.getValue()) && e.getValue() > 0)
        .limit(MAX_LABELS)
        .forEach(
            e -> labels.put(e.getKey(), LabelSpeed.inherited(bounded(Math.log(e.getValue())))));
  }

  private static double bounded(double logFactor) {
    return Math.clamp(logFactor, -Math.log(MAX_FACTOR), Math.log(MAX_FACTOR));
  }

  /** Records an executor's boot and labels. */
  void listed(String id, long boot, Set<String> newLabels) {
    Executor executor = executors.computeIfAbsent(id, k -> newExecutor());
    if (executor.boot != boot) {
      executor.rebooted(boot);
    }
    if (!executor.labels.equals(newLabels)) {
      executor.labels.forEach(this::uncount);
      newLabels.forEach(l -> executorsByLabel.merge(l, 1, Integer::sum));
      executor.labels = newLabels;
      population++;
    }
  }

  private Executor newExecutor() {
    population++;
    return new Executor();
  }

  void removed(String id) {
    Executor executor = executors.remove(id);
    if (executor != null) {
      executor.labels.forEach(this::uncount);
      population++;
    }
  }

  private void uncount(String label) {
    executorsByLabel.computeIfPresent(label, (k, n) -> n == 1 ? null : n - 1);
  }

  /** Returns the duration of tasks on one boot of an executor relative to a normal executor. */
  double factor(String id, long boot, Set<String> withLabels) {
    Executor executor = executors.get(id);
    if (executor == null || executor.boot != boot || !executor.labels.equals(withLabels)) {
      return Math.exp(bounded(priorLogFactor(prior(withLabels))));
    }
    if (executor.factorRevision != revision || executor.priorPopulation != population) {
      executor.factor = Math.exp(logFactor(executor));
      executor.factorRevision = revision;
    }
    return executor.factor;
  }

  private double logFactor(Executor executor) {
    return bounded(executor.speed.logFactor(priorLogFactor(prior(executor)) - offset) + offset);
  }

  private double priorLogFactor(String label) {
    LabelSpeed speed = labels.get(label);
    return speed == null ? 0 : speed.logFactor() + offset;
  }

  private String prior(Executor executor) {
    if (executor.priorPopulation != population) {
      executor.prior = prior(executor.labels);
      executor.priorPopulation = population;
    }
    return executor.prior;
  }

  /** Returns the label that the most executors share, but not all of them; empty for none. */
  private String prior(Set<String> candidates) {
    return candidates.stream()
        .filter(l -> count(l) > 1 && count(l) < executors.size())
        .max(Comparator.<String>comparingInt(this::count).thenComparing(Comparator.reverseOrder()))
        .orElse("");
  }

  private int count(String label) {
    return executorsByLabel.getOrDefault(label, 0);
  }

  /**
   * Learns from tasks of one step, which would take about equally long on equal executors.
   *
   * @return the mean logarithmic duration of the tasks on a normal executor
   */
  double learn(List<Sample> sisters) {
    center();
    double[] corrected = sisters.stream().mapToDouble(this::corrected).toArray();
    double median = median(corrected);
    double[] clamped =
        Arrays.stream(corrected)
            .map(c -> Math.clamp(c, median - MAX_DEVIATION, median + MAX_DEVIATION))
            .toArray();
    double mean = Arrays.stream(clamped).average().orElse(0);
    if (sisters.size() > 1) {
      learn(sisters, Arrays.stream(clamped).map(c -> c - mean).toArray());
    }
    return mean;
  }

  /**
   * Makes the mean factor of the executors with a known label 1. Runs show only ratios of factors;
   * without this, what counts as a normal executor would depend on inherited factors.
   */
  private void center() {
    double sum = 0;
    long counted = 0;
    for (Map.Entry<String, LabelSpeed> label : labels.entrySet()) {
      if (label.getValue().isKnown()) {
        sum += count(label.getKey()) * label.getValue().logFactor();
        counted += count(label.getKey());
      }
    }
    offset = counted == 0 ? offset : -sum / counted;
    revision++;
  }

  private void learn(List<Sample> sisters, double[] deviations) {
    double[] shown = new double[deviations.length];
    for (int i = 0; i < shown.length; i++) {
      shown[i] = Math.log(factor(sisters.get(i))) - offset + deviations[i];
    }
    Set<LabelSpeed> observed = new LinkedHashSet<>();
    for (int i = 0; i < shown.length; i++) {
      Optional<LabelSpeed> label = label(prior(sisters.get(i)));
      if (label.isPresent()) {
        label.get().collect(shown[i]);
        observed.add(label.get());
      }
    }
    observed.forEach(LabelSpeed::apply);
    revision++;
    for (int i = 0; i < shown.length; i++) {
      observe(sisters.get(i), shown[i]);
    }
  }

  private void observe(Sample sample, double shown) {
    double unexplained = shown + offset - Math.log(factor(sample));
    spreadSquared += SPREAD_GAIN * (unexplained * unexplained - spreadSquared);
    Executor executor = executors.get(sample.executor());
    // A run of an earlier boot says nothing of the executor that has its id now.
    if (executor != null && executor.boot == sample.bootMillis()) {
      executor.speed.observe(shown);
      executor.factorRevision = -1;
    }
  }

  private double factor(Sample sample) {
    return factor(sample.executor(), sample.bootMillis(), sample.labels());
  }

  private double corrected(Sample sample) {
    return sample.logMillis() - Math.log(factor(sample));
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
  }

  private String prior(Sample sample) {
    Executor executor = executors.get(sample.executor());
    return executor != null && executor.labels.equals(sample.labels())
        ? prior(executor)
        : prior(sample.labels());
  }

  private Optional<LabelSpeed> label(String name) {
    if (name.isEmpty() || (!labels.containsKey(name) && labels.size() >= MAX_LABELS)) {
      return Optional.empty();
    }
    return Optional.of(labels.computeIfAbsent(name, k -> LabelSpeed.unknown(-offset)));
  }

  /** Returns the labels whose factors are known, with the number of observations. */
  Stream<RunTimeModel.LabelFactor> known() {
    return labels.entrySet().stream()
        .filter(e -> e.getValue().isKnown())
        .map(
            e ->
                new RunTimeModel.LabelFactor(
                    e.getKey(),
                    Math.exp(bounded(e.getValue().logFactor() + offset)),
                    e.getValue().observations()));
  }

  /** Returns whether labels are known to differ enough for placement to consider it. */
  boolean unequal() {
    if (unequalRevision != revision || unequalPopulation != population) {
      unequal = differ(unequal ? EQUAL_RATIO : UNEQUAL_RATIO);
      unequalRevision = revision;
      unequalPopulation = population;
    }
    return unequal;
  }

  private boolean differ(double ratio) {
    List<LabelSpeed> known =
        labels.entrySet().stream()
            .filter(e -> e.getValue().isKnown() && count(e.getKey()) > 0)
            .map(Map.Entry::getValue)
            .sorted(Comparator.comparingDouble(LabelSpeed::logFactor))
            .toList();
    if (known.isEmpty()) {
      return false;
    }
    LabelSpeed fast = known.getFirst();
    LabelSpeed slow = known.getLast();
    double variance = spreadSquared * (fast.relativeVariance() + slow.relativeVariance());
    double range = slow.logFactor() - fast.logFactor();
    return range >= Math.max(Math.log(ratio), SIGNIFICANCE * Math.sqrt(variance));
  }

  /** Returns the standard deviation of the logarithmic durations of sister tasks. */
  double spread() {
    return Math.sqrt(spreadSquared);
  }

  Map<String, Double> labelFactors(int max) {
    return known()
        .filter(f -> count(f.label()) > 0)
        .sorted(Comparator.comparingInt((RunTimeModel.LabelFactor f) -> -count(f.label())))
        .limit(max)
        .collect(
            Collectors.toMap(RunTimeModel.LabelFactor::label, RunTimeModel.LabelFactor::factor));
  }
}
