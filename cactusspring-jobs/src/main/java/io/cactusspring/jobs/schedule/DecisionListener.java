package io.cactusspring.jobs.schedule;

import java.util.Map;

/**
 * Receives each decision of the scheduler and its inputs, for the log.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface DecisionListener {
  /** Kinds of decisions and observations. The names are written to the log. */
  enum Kind {
    RUN_DECIDED,
    RUN_STARTED,
    RUN_REFUSED,
    RUN_IN_DOUBT,
    RUN_ENDED,
    RUN_LOST,
    RUN_FAILED,
    FAILURES_RESTORED,
    RUN_STOPPED,
    RUN_PREEMPTED,
    RUN_MOVED,
    RUN_UNKNOWN,
    STARTS_HELD,
    STEP_WAITS,
    JOB_FAILED,
    JOB_COMPLETED,
    JOB_CANCELLED,
    JOB_REJECTED,
    JOB_DEFERRED,
    JOB_SET_ASIDE,
    ADVICE,
    EXECUTOR_REBOOTED,
    EXECUTOR_SILENT,
    EXECUTOR_ANSWERS,
    EXECUTOR_QUARANTINED,
    EXECUTOR_CRASHED,
    EXECUTOR_SET_ASIDE,
    REPORT_TRUNCATED,
    TASK_SUSPECTED,
    CRASH_TAKEN_BACK,
    PACED,
    SPEED_LEARNED
  }

  /**
   * Called for each decision.
   *
   * @param job the id of the job concerned, or empty if there is none
   * @param subject the run, step, task or executor concerned, or empty
   * @param reason the inputs of the decision, with their values
   */
  void decisionMade(Kind kind, String job, String subject, String reason);

  /** Called when a job or an executor is set aside because of an unexpected error. */
  default void errorContained(Kind kind, String job, String executor, RuntimeException problem) {
    decisionMade(kind, job, executor, problem.toString());
  }

  /** Called when a job that is neither scheduled nor long-running has ended. */
  default void jobEnded(EndedJob job) {}

  /**
   * Called every second with the age of the oldest step that waits, in milliseconds, by reason.
   * Reasons that hold no step are missing.
   */
  default void oldestWaits(Map<String, Long> millisByReason) {}
}
