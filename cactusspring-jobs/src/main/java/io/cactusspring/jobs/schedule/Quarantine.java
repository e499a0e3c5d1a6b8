package io.cactusspring.jobs.schedule;

import java.util.Collection;

/**
 * The exclusion of an executor whose runs fail.
 *
 * <p>It ends after a time that doubles, up to a maximum, as long as no run succeeds, or as soon as
 * a run succeeds that was decided since it began. Meanwhile the executor may get one task at a
 * time, so that work for which no other executor has room does not wait for the end.
 */
final class Quarantine {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long MIN_MILLIS = 4_000;
  private static final long MAX_MILLIS = 16_000;

  /** Time from the start or renewal of a quarantine to the next task. */
  static final long PROBE_MILLIS = 2_000;

  private String lastFailedJob = "";
  private int consecutiveFailures;
  private long nextMillis = MIN_MILLIS;
  private long begunAt = NEVER;
  private long until = NEVER;

  boolean isActive(long now) {
    return now < until;
  }

  /**
   * Records a failed run. Failures in a row of runs of different jobs begin a quarantine, or renew
   * it. Runs that were decided before the quarantine began are no further evidence.
   *
   * @param maxFailures number of failures in a row that begin a quarantine
   * @return whether a quarantine has begun
   */
  boolean runFailed(Run run, int maxFailures, long now) {
    String job = run.key().task().job();
    if (run.decidedAt() <= begunAt || job.equals(lastFailedJob)) {
      return false;
    }
    lastFailedJob = job;
    consecutiveFailures++;
    if (consecutiveFailures < maxFailures) {
      return false;
    }
    begin(now);
    return true;
  }

  /** Records that the executor refused a run because of its own state. */
  void runRefused(Run run, long now) {
    if (run.decidedAt() > begunAt) {
      begin(now);
    }
  }

  private void begin(long now) {
    begunAt = now;
    until = now + nextMillis;
    nextMillis = Math.min(MAX_MILLIS, nextMillis * 2);
  }

  void runSucceeded(Run run) {
    consecutiveFailures = 0;
    lastFailedJob = "";
    nextMillis = MIN_MILLIS;
    if (run.decidedAt() > begunAt) {
      until = NEVER;
    }
  }

  /** Ends the quarantine of an executor that was restarted. */
  void reset() {
    consecutiveFailures = 0;
    until = NEVER;
  }

  /**
   * Returns whether an executor in quarantine may get a task.
   *
   * @param runs the runs on the executor
   */
  boolean mayProbe(Collection<Run> runs, long now) {
    return now >= begunAt + PROBE_MILLIS && runs.stream().noneMatch(r -> r.decidedAt() > begunAt);
  }

  /** Returns whether a run was decided although, and after, the quarantine had begun. */
  boolean isProbe(Run run) {
    return run.decidedAt() > begunAt;
  }
}
