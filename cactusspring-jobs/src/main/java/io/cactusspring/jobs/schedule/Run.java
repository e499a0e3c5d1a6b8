package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import java.util.Optional;

/**
 * One attempt of a task on one executor, from the decision to start it until the attempt is
 * certainly over. Until then it counts against the executor's capacity.
 */
final class Run {
  // An unanswered start may be carried out up to 12 s late.
  static final long MAX_START_DELAY_MILLIS = 13_000;
  // The first reports of a run are too coarse to tell how fast it is.
  private static final int MIN_TELLING_PERCENT = 20;

  /** Phase of the attempt. */
  enum Phase {
    /** The start is sent once the decision is stored. */
    DECIDED,
    /** The start was sent and has no answer yet. */
    STARTING,
    /** The start was not answered; it may have been carried out, or may be later. */
    IN_DOUBT,
    /** The executor confirmed the run, or a previous owner started it. */
    RUNNING,
    /** The executor lists the run, but it is not the current run of any task. */
    ORPHANED
  }

  private final RunKey key;
  private final StepSpec spec;
  private final String organisation;
  private final String service;
  private final long decidedAt;
  private final boolean inherited;
  private long bootMillis;
  private boolean contained;
  private String checkpoint = "";
  private boolean refused;
  private Optional<Crash> crash = Optional.empty();
  private boolean listed;
  private boolean measured;
  private Phase phase;
  private long phaseAt;
  private int startsSent;
  private boolean startInFlight;
  private long leaseEnd;
  private long startToken;
  private long startSentAt;
  private long firstStartSentAt;
  private long startUnansweredAt = Long.MIN_VALUE / 2;
  private boolean stopping;
  private long stopSentAt = Long.MIN_VALUE;
  private long stopAnsweredAt = Long.MAX_VALUE;
  private int percent;
  private long percentAt;
  private long reportedAt;
  private int pace = 100;
  private long paceAt;
  private boolean paceFailed;
  private long usage;

  /**
   * Creates a run.
   *
   * @param job the submission of its job
   */
  Run(RunKey key, StepSpec spec, JobSpec job, Phase phase, long now) {
    this.key = key;
    this.spec = spec;
    organisation = job.organisation();
    service = job.queue().service();
    this.phase = phase;
    decidedAt = now;
    inherited = phase == Phase.RUNNING;
    // A run that a previous owner started has an unknown age.
    measured = phase == Phase.DECIDED;
    phaseAt = now;
    percentAt = now;
    reportedAt = now;
    firstStartSentAt = now;
  }

  RunKey key() {
    return key;
  }

  /** Returns the specification of the step that the run belongs to. */
  StepSpec spec() {
    return spec;
  }

  /** Returns the organisation whose limit the run counts against. */
  String organisation() {
    return organisation;
  }

  /** Returns the service to which the queue of the job sent it when it was accepted. */
  String service() {
    return service;
  }

  /** Returns the share of its executor's capacity that the run occupies. */
  Resources committed() {
    return spec.committed();
  }

  /** Returns whether the run is a long-running task with a latency target. */
  boolean serves() {
    return spec.longRunning() && spec.targetMillis() > 0;
  }

  Phase phase() {
    return phase;
  }

  /** Returns when the run entered its phase. */
  long phaseAt() {
    return phaseAt;
  }

  long decidedAt() {
    return decidedAt;
  }

  /**
   * Returns whether the time since the run was confirmed shows how long such a task takes on its
   * executor.
   */
  boolean isMeasured() {
    return measured && phase == Phase.RUNNING;
  }

  /** Records that the time since the run was confirmed does not show how long such a task takes. */
  void doNotMeasure() {
    measured = false;
  }

  void enter(Phase next, long now) {
    if (next == Phase.IN_DOUBT) {
      doNotMeasure();
    }
    if (phase != next) {
      phase = next;
      phaseAt = now;
    }
  }

  /** Returns whether a previous owner started the run, so that its age is unknown. */
  boolean isInherited() {
    return inherited;
  }

  /** Returns whether the executor has told this owner that it carried out the start. */
  boolean isConfirmed() {
    return phase == Phase.RUNNING && (!inherited || listed);
  }

  /** Records that the executor has listed the run. */
  void listed() {
    listed = true;
  }

  /** Returns whether the run has been confirmed for some time at a given time. */
  boolean isProvenAt(long when) {
    return (phase == Phase.RUNNING || phase == Phase.ORPHANED)
        && when - phaseAt >= CrashAttribution.PROVEN_MILLIS;
  }

  /** Returns the boot of the executor that the run was sent to, or will be; 0 if unknown. */
  long bootMillis() {
    return bootMillis;
  }

  void bootMillis(long boot) {
    bootMillis = boot;
  }

  /** Returns whether nothing else is started beside the run before it is proven. */
  boolean isContained() {
    return contained;
  }

  void contain() {
    contained = true;
  }

  /** Returns the checkpoint that each start of the run carries; empty if there is none. */
  String checkpoint() {
    return checkpoint;
  }

  /** Sets the checkpoint of the run, which then does only a part of the work. */
  void resumeFrom(String value) {
    checkpoint = value;
  }

  /** Records that the executor refused the start, so that the run never existed there. */
  void refused() {
    refused = true;
    crash = Optional.empty();
  }

  /** Returns whether the run may have existed on its executor. */
  boolean mayHaveRun() {
    return phase != Phase.DECIDED && !refused;
  }

  /** Returns the crash of its executor that the run was on when it is over. */
  Optional<Crash> crash() {
    return crash;
  }

  void crash(Optional<Crash> value) {
    crash = value;
  }

  int startsSent() {
    return startsSent;
  }

  /**
   * Records that a start is sent.
   *
   * @param leaseEndMillis the end of the lease that it names
   * @param token its fencing token
   */
  void startSent(long leaseEndMillis, long token, long now) {
    leaseEnd = Math.max(leaseEnd, leaseEndMillis);
    startToken = token;
    startsSent++;
    startInFlight = true;
    firstStartSentAt = startsSent == 1 ? now : firstStartSentAt;
    startSentAt = now;
    enter(Phase.STARTING, now);
  }

  /** Returns the latest end of a lease that a start of the run named; 0 if none was sent. */
  long leaseEnd() {
    return leaseEnd;
  }

  /** Records that no start of the run is waited for any more. */
  void startSettled() {
    startInFlight = false;
  }

  /** Returns whether a start is waited for that was not certainly carried out. */
  boolean isStartInFlight() {
    // If the start was sent again, a report does not tell which copy was carried out.
    return startInFlight && (phase == Phase.STARTING || startsSent > 1);
  }

  /** Returns the fencing token of the last start. */
  long startToken() {
    return startToken;
  }

  /** Returns whether the answer to the last start is overdue. */
  boolean startOverdue(long overdueMillis, long now) {
    return (phase == Phase.STARTING || phase == Phase.IN_DOUBT)
        && now - startSentAt >= overdueMillis;
  }

  long startSentAt() {
    return startSentAt;
  }

  /** Returns when the first start was sent, or when the run was created if none was. */
  long firstStartSentAt() {
    return firstStartSentAt;
  }

  /** Records that a start was not answered: when the run began, if it did, is unknown. */
  void startUnanswered(long now) {
    doNotMeasure();
    startUnansweredAt = now;
  }

  /** Returns whether the executor may still carry out an unanswered start. */
  boolean mayStartLate(long now) {
    return phase == Phase.STARTING
        || phase == Phase.IN_DOUBT
        || now - startUnansweredAt < MAX_START_DELAY_MILLIS;
  }

  boolean stopping() {
    return stopping;
  }

  void stop() {
    stopping = true;
  }

  boolean stopDue(long now, long retryMillis) {
    return stopping
        && phase != Phase.DECIDED
        && stopAnsweredAt == Long.MAX_VALUE
        && (stopSentAt == Long.MIN_VALUE || now - stopSentAt >= retryMillis);
  }

  void stopSent(long now) {
    stopSentAt = now;
  }

  void stopAnswered(long now) {
    stopAnsweredAt = Math.min(stopAnsweredAt, now);
  }

  /** Requests the stop again, because a later boot of the executor may still start the run. */
  void resetStop() {
    stopping = true;
    stopSentAt = Long.MIN_VALUE;
    stopAnsweredAt = Long.MAX_VALUE;
  }

  /**
   * Returns whether the run is certainly over if a report does not list it.
   *
   * @param reportAskedAt when the report was requested
   */
  boolean isOverIfMissing(long reportAskedAt) {
    return switch (phase) {
      case DECIDED, STARTING -> false;
      case IN_DOUBT -> stopAnsweredAt < reportAskedAt;
      case RUNNING, ORPHANED -> phaseAt < reportAskedAt;
    };
  }

  void progressed(int newPercent, long newUsage, long now) {
    reportedAt = now;
    if (newPercent != percent) {
      percent = newPercent;
      percentAt = now;
    }
    usage = newUsage;
  }

  int percent() {
    return percent;
  }

  /**
   * Returns when the run will probably end: by the progress that was reported, or while that says
   * little, by its expected duration. It is never in the past.
   *
   * @param expectedMillis expected duration on its executor
   */
  long expectedEnd(double expectedMillis, long now) {
    if (phase != Phase.RUNNING || inherited) {
      return now + Math.round(expectedMillis);
    }
    double millis =
        percent >= MIN_TELLING_PERCENT && checkpoint.isEmpty()
            ? (percentAt - phaseAt) * 100.0 / percent
            : expectedMillis;
    return Math.max(now, phaseAt + Math.round(millis));
  }

  /** Returns for how many milliseconds reports have shown the same percentage. */
  long unchangedMillis() {
    return reportedAt - percentAt;
  }

  long usage() {
    return usage;
  }

  int pace() {
    return pace;
  }

  long paceAt() {
    return paceAt;
  }

  /** Records that a pace call may have had no effect. */
  void paceFailed() {
    paceFailed = true;
  }

  /** Returns whether the executor may not work at the pace that it was told. */
  boolean isPaceUncertain() {
    return paceFailed;
  }

  void paced(int newPace, long now) {
    pace = newPace;
    paceAt = now;
    paceFailed = false;
    doNotMeasure();
  }
}
