package io.cactusspring.jobs.schedule;

/**
 * Is told each decision of the scheduler with the inputs that decided it, for the log.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface DecisionListener {
  /** Kinds of decisions and observations. */
  enum Kind {
    RUN_DECIDED,
    RUN_STARTED,
    RUN_REFUSED,
    RUN_IN_DOUBT,
    RUN_ENDED,
    RUN_LOST,
    RUN_STOPPED,
    RUN_PREEMPTED,
    RUN_MOVED,
    RUN_UNKNOWN,
    JOB_FAILED,
    JOB_COMPLETED,
    JOB_CANCELLED,
    ADVICE,
    EXECUTOR_REBOOTED,
    EXECUTOR_SILENT,
    EXECUTOR_ANSWERS,
    EXECUTOR_QUARANTINED,
    PACED
  }

  /**
   * Takes note of a decision.
   *
   * @param job the job's id, or empty if it concerns none
   * @param subject the run, step or executor
   * @param reason the inputs that decided it, with their values
   */
  void decisionMade(Kind kind, String job, String subject, String reason);
}
