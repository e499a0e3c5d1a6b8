package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.StepSpec;

/**
 * One attempt of a task on one executor, from the decision to start it until it is certain that it
 * is over. It counts against the executor's capacity all the while.
 */
final class Run {
  // Orders without an answer were announced to be carried out up to 12 s late.
  private static final long MAX_START_DELAY_MILLIS = 13_000;

  /** How far the attempt has come. */
  enum Phase {
    /** Decided; the start is sent once the decision is stored. */
    DECIDED,
    /** The start was sent and its answer is awaited. */
    STARTING,
    /** No answer came: the start may have been, or may yet be, carried out. */
    IN_DOUBT,
    /** The executor has confirmed it, or an earlier owner had started it. */
    RUNNING,
    /** The executor lists it, but no task of ours wants it. */
    ORPHANED
  }

  private final RunKey key;
  private final StepSpec spec;
  private final String organisation;
  private final long decidedAt;
  private Phase phase;
  private long phaseAt;
  private int startsSent;
  private long startSentAt;
  private long startUnansweredAt = Long.MIN_VALUE / 2;
  private boolean stopping;
  private long stopSentAt = Long.MIN_VALUE;
  private long stopAnsweredAt = Long.MAX_VALUE;
  private int percent;
  private long percentAt;
  private long reportedAt;
  private int pace = 100;
  private long paceAt;
  private long usage;

  Run(RunKey key, StepSpec spec, String organisation, Phase phase, long now) {
    this.key = key;
    this.spec = spec;
    this.organisation = organisation;
    this.phase = phase;
    decidedAt = now;
    phaseAt = now;
    percentAt = now;
    reportedAt = now;
  }

  RunKey key() {
    return key;
  }

  /** Returns the step that the run belongs to. */
  StepSpec spec() {
    return spec;
  }

  /** Returns the organisation whose limit the run counts against. */
  String organisation() {
    return organisation;
  }

  /** Returns what the run takes of its executor's capacity. */
  Resources committed() {
    return spec.committed();
  }

  /** Returns whether the run serves users under a latency target. */
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

  void enter(Phase next, long now) {
    if (phase != next) {
      phase = next;
      phaseAt = now;
    }
  }

  int startsSent() {
    return startsSent;
  }

  void startSent(long now) {
    startsSent++;
    startSentAt = now;
    enter(Phase.STARTING, now);
  }

  /** Returns whether the answer to its start is overdue. */
  boolean startOverdue(long overdueMillis, long now) {
    return (phase == Phase.STARTING || phase == Phase.IN_DOUBT)
        && now - startSentAt >= overdueMillis;
  }

  long startSentAt() {
    return startSentAt;
  }

  /** Takes note that a start got no answer. */
  void startUnanswered(long now) {
    startUnansweredAt = now;
  }

  /** Returns whether a copy of the start may still be carried out. */
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

  /** Forgets an answered stop, because another boot of the executor may still start the run. */
  void resetStop() {
    stopping = true;
    stopSentAt = Long.MIN_VALUE;
    stopAnsweredAt = Long.MAX_VALUE;
  }

  /**
   * Returns whether the run is over for certain if a report that was asked for at a time does not
   * list it.
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

  /** Returns for how long reports have shown the same percentage. */
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

  void paced(int newPace, long now) {
    pace = newPace;
    paceAt = now;
  }
}
