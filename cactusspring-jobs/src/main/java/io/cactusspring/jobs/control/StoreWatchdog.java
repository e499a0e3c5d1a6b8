package io.cactusspring.jobs.control;

import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.port.Timers;

/**
 * Repeats an overdue read of a topic on a new connection, because open connections can go silent
 * while new ones work. Tells a host that is cut off from the store from one that is only late.
 */
final class StoreWatchdog {
  /** How long an answer on a new connection may take before the store counts as unreachable. */
  private static final long ANSWER_TIMEOUT_MILLIS = 300;

  /** Pause between two reads on new connections while the store does not answer. */
  private static final long RETRY_MILLIS = 500;

  /** While checks are further apart, the event loop lags and answers may be waiting for it. */
  private static final long MAX_CHECK_INTERVAL_MILLIS = 150;

  private final TopicFollower follower;
  private final Timers timers;
  private final JobLog log;
  private long checkedAt = Long.MIN_VALUE / 2;
  private long sentAt;
  private long endedAt = Long.MIN_VALUE / 2;
  private boolean reading;
  private boolean unreachable;

  StoreWatchdog(TopicFollower follower, Timers timers, JobLog log) {
    this.follower = follower;
    this.timers = timers;
    this.log = log;
  }

  /** Returns whether the last attempt to reach the store on a new connection has failed. */
  boolean isStoreUnreachable() {
    return unreachable;
  }

  /** Checks for an overdue read; called periodically. */
  void check() {
    long now = timers.nowMillis();
    boolean timely = now - checkedAt <= MAX_CHECK_INTERVAL_MILLIS;
    checkedAt = now;
    if (!follower.isReadLate()) {
      unreachable = false;
    } else if (reading) {
      unreachable |= timely && now - sentAt > ANSWER_TIMEOUT_MILLIS;
    } else if (now - endedAt >= RETRY_MILLIS) {
      read(now);
    }
  }

  private void read(long now) {
    reading = true;
    sentAt = now;
    follower
        .readOnNewConnection()
        .onComplete(
            done -> {
              reading = false;
              endedAt = timers.nowMillis();
              unreachable = false;
              logRead("answered");
            },
            problem -> {
              reading = false;
              endedAt = timers.nowMillis();
              // A later failure may be a timeout that a lagging event loop runs before the answer.
              unreachable |= endedAt - sentAt <= ANSWER_TIMEOUT_MILLIS;
              logRead(String.valueOf(problem.getMessage()));
            });
  }

  private void logRead(String outcome) {
    log.event(
        JobEvent.READ_REPEATED,
        "topic",
        follower.name(),
        "next",
        follower.next(),
        "ageMillis",
        follower.ageMillis(),
        "tookMillis",
        timers.nowMillis() - sentAt,
        "outcome",
        outcome);
  }
}
