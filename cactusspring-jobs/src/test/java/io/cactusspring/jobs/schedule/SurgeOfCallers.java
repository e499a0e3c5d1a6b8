package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Callers that submit equal jobs at a steady rate, and submit a rejected job again exactly when
 * they were asked to.
 */
final class SurgeOfCallers {
  /** Jobs that the cluster of the tests serves in one second. */
  private static final double JOBS_PER_SECOND = 10;

  private static final long STEP_MILLIS = 10;

  /**
   * @param remainingWorkMillis processor time that the accepted jobs needed at the rejection
   */
  record Rejection(String job, double remainingWorkMillis) {}

  private final AdmissionCluster cluster;
  private final Queue queue;
  private final StepSpec step;
  private final TreeMap<Long, List<String>> returns = new TreeMap<>();
  private final List<Long> returnTimes = new ArrayList<>();
  private final List<Rejection> rejections = new ArrayList<>();
  private final List<String> admitted = new ArrayList<>();
  private int submitted;

  SurgeOfCallers(AdmissionCluster cluster, Queue queue, StepSpec step) {
    this.cluster = cluster;
    this.queue = queue;
    this.step = step;
  }

  /** Submits jobs at a rate relative to the capacity. */
  void run(double load, long millis) {
    double due = 0;
    for (long i = 0; i < millis; i += STEP_MILLIS) {
      while (!returns.isEmpty() && returns.firstKey() <= cluster.now()) {
        returns.pollFirstEntry().getValue().forEach(this::submitAgain);
      }
      for (due += load * JOBS_PER_SECOND * STEP_MILLIS / 1_000; due >= 1; due--) {
        submit("job" + submitted++);
      }
      cluster.run(STEP_MILLIS);
    }
  }

  private void submitAgain(String id) {
    returnTimes.add(cluster.now());
    submit(id);
  }

  private void submit(String id) {
    switch (cluster.submit(AdmissionCluster.job(id, queue, step))) {
      case Admission.Admitted admission -> admitted.add(id);
      case Admission.Rejected rejection -> {
        rejections.add(new Rejection(id, cluster.remainingWorkMillis()));
        returns
            .computeIfAbsent(cluster.now() + rejection.retryAfterMillis(), t -> new ArrayList<>())
            .add(id);
      }
    }
  }

  List<Rejection> rejections() {
    return rejections;
  }

  /** Returns the jobs that were rejected, in the order of their first rejections. */
  List<String> firstRejections() {
    Set<String> jobs =
        rejections.stream()
            .map(Rejection::job)
            .collect(Collectors.toCollection(LinkedHashSet::new));
    return List.copyOf(jobs);
  }

  List<String> admitted() {
    return admitted;
  }

  long mostReturnsInOneSecond() {
    Map<Long, Long> bySecond =
        returnTimes.stream().collect(Collectors.groupingBy(t -> t / 1_000, Collectors.counting()));
    return bySecond.values().stream().mapToLong(n -> n).max().orElse(0);
  }
}
