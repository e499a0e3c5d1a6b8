package io.cactusspring.core.placement;

import io.cactusspring.core.model.TaskId;
import java.util.HashSet;
import java.util.Set;

/**
 * Failures of a worker since its last success. A worker on which every task fails is quarantined.
 * After the quarantine time it receives one probe task at a time, and each failed probe doubles the
 * time until the next.
 */
final class WorkerHealth {
  private final PlacementPolicy policy;
  private final Set<String> failedWorkloads = new HashSet<>();
  private int failures;
  private int startFailures;
  private boolean quarantined;
  private boolean probeAllowed;
  private TaskId probe;
  private long backoffMillis;

  WorkerHealth(PlacementPolicy policy) {
    this.policy = policy;
  }

  boolean isQuarantined() {
    return quarantined;
  }

  /** Whether the worker may receive a task: not quarantined, or due for a probe. */
  boolean takesWork() {
    return !quarantined || probeAllowed;
  }

  void taskStarted(TaskId task) {
    if (quarantined && probeAllowed) {
      probeAllowed = false;
      probe = task;
    }
  }

  void taskSucceeded() {
    failures = 0;
    startFailures = 0;
    failedWorkloads.clear();
    quarantined = false;
    probeAllowed = false;
    probe = null;
    backoffMillis = 0;
  }

  /**
   * Counts a failure. Failures of a single workload do not indicate a faulty worker; failures to
   * start do.
   *
   * @return whether the worker should be quarantined
   */
  boolean taskFailed(TaskId task, boolean atStart) {
    failures++;
    startFailures += atStart ? 1 : 0;
    if (failedWorkloads.size() < 2) {
      failedWorkloads.add(task.run().workload());
    }
    boolean workerSuspected = failedWorkloads.size() > 1 || startFailures == failures;
    return task.equals(probe)
        || (!quarantined && failures >= policy.quarantineFailures() && workerSuspected);
  }

  /** Quarantines the worker; returns the time of the next probe, in milliseconds. */
  long quarantine(long nowMillis) {
    long next = backoffMillis == 0 ? policy.quarantineMillis() : backoffMillis * 2;
    backoffMillis = Math.min(next, policy.maxQuarantineMillis());
    quarantined = true;
    return scheduleProbe(nowMillis);
  }

  boolean isProbe(TaskId task) {
    return task.equals(probe);
  }

  /** Discards the current probe; returns the time of the next one, in milliseconds. */
  long scheduleProbe(long nowMillis) {
    probeAllowed = false;
    probe = null;
    return nowMillis + backoffMillis;
  }

  /** Whether a probe is running; one still running at its check counts as a success. */
  boolean isProbeRunning() {
    return quarantined && probe != null;
  }

  /** Returns how long a probe has to run to count as a success, in milliseconds. */
  long backoffMillis() {
    return backoffMillis;
  }

  void allowProbe() {
    probeAllowed = quarantined && probe == null;
  }
}
