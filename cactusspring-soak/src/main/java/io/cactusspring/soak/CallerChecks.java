package io.cactusspring.soak;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.platform.standin.CallerClient.Verdict;
import io.cactusspring.soak.Observation.Answered;
import io.cactusspring.soak.Observation.HostEnded;
import io.cactusspring.soak.Observation.HostHalted;
import io.cactusspring.soak.Observation.KeyWithdrawn;
import io.cactusspring.soak.Observation.PlannedStop;
import io.cactusspring.soak.Observation.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks of the answers that callers receive. */
final class CallerChecks {
  /** A rejected caller has to learn it while it can still try elsewhere. */
  static final long REJECTION_MILLIS = 1_000;

  /** Faults that ended before a request may still delay it for this time. */
  private static final long AFTERMATH_MILLIS = 2_000;

  /** The host has read the whole request, or had the time to do so. */
  private static final Set<Verdict> WITHOUT_ANSWER = Set.of(Verdict.CUT, Verdict.TIMEOUT);

  /** Answers that no job gets: its queue is never removed, and each id stands for one job. */
  private static final Set<Verdict> NEVER_RIGHT =
      Set.of(Verdict.INVALID, Verdict.CONFLICT, Verdict.NO_QUEUE);

  private final SoakOracle.Settings settings;
  private final Map<String, JobFacts> jobs;
  private final Disturbances disturbances;
  private final Findings findings;
  private final Map<String, Long> withdrawnAt = new HashMap<>();
  private final List<HostHalted> halts = new ArrayList<>();

  /** For each host that was stopped as planned, when its process ended. */
  private final Map<String, Long> stoppedUntil = new HashMap<>();

  CallerChecks(
      SoakOracle.Settings settings,
      Map<String, JobFacts> jobs,
      Disturbances disturbances,
      Findings findings) {
    this.settings = settings;
    this.jobs = jobs;
    this.disturbances = disturbances;
    this.findings = findings;
  }

  void answered(Answered answer) {
    JobFacts job = jobs.get(answer.job());
    checkAnswer(answer);
    if (answer.request() != Request.SUBMISSION && job != null) {
      checkState(answer, job);
    }
  }

  private void checkAnswer(Answered answer) {
    Long withdrawn = withdrawnAt.get(answer.key());
    if (withdrawn != null
        && answer.verdict() == Verdict.ACCEPTED
        && answer.sentAt() > withdrawn + settings.keyRevokeMillis()) {
      findings.add(
          answer.at(), Rule.WITHDRAWN_KEY_ACCEPTED, describe(answer) + " sent " + answer.sentAt());
    }
    boolean stopping = answer.sentAt() <= stoppedUntil.getOrDefault(answer.host(), Long.MIN_VALUE);
    if (answer.verdict() == Verdict.CUT && stopping) {
      findings.add(answer.at(), Rule.PLANNED_STOP_CUT_REQUEST, describe(answer));
    } else if (WITHOUT_ANSWER.contains(answer.verdict()) && !wasHalted(answer)) {
      findings.add(
          answer.at(), Rule.REQUEST_WITHOUT_ANSWER, describe(answer) + " sent " + answer.sentAt());
    }
    if (NEVER_RIGHT.contains(answer.verdict())) {
      findings.add(answer.at(), Rule.INVALID_ANSWER, describe(answer));
    }
    long tookMillis = answer.at() - answer.sentAt();
    if (answer.request() == Request.SUBMISSION
        && answer.verdict() == Verdict.REJECTED
        && tookMillis > REJECTION_MILLIS
        && disturbances.isCalm(answer.sentAt() - AFTERMATH_MILLIS, answer.at())) {
      findings.add(
          answer.at(), Rule.SLOW_REJECTION, describe(answer) + " after " + tookMillis + " ms");
    }
  }

  private boolean wasHalted(Answered answer) {
    return halts.stream()
        .anyMatch(
            h ->
                h.host().equals(answer.host())
                    && h.at() <= answer.at()
                    && h.until() >= answer.sentAt());
  }

  private static String describe(Answered answer) {
    return "%s of %s at %s with key %s: %s"
        .formatted(answer.request(), answer.job(), answer.host(), answer.key(), answer.verdict());
  }

  private void checkState(Answered answer, JobFacts job) {
    if (answer.verdict() == Verdict.NO_SUCH_JOB
        && job.isKnown()
        && (job.acceptedAt >= 0 && job.acceptedAt < answer.sentAt()
            || job.statesBefore(answer.sentAt()).findAny().isPresent())) {
      findings.add(answer.at(), Rule.ACCEPTED_JOB_UNKNOWN, describe(answer));
    }
    JobState state = answer.state();
    if (state == null) {
      return;
    }
    job.statesBefore(answer.sentAt())
        .filter(earlier -> wentBack(earlier, state))
        .findFirst()
        .ifPresent(
            earlier ->
                findings.add(
                    answer.at(),
                    Rule.STATE_WENT_BACK,
                    "%s from %s to %s at %s".formatted(job.id, earlier, state, answer.host())));
    job.stateSeen(answer);
    if (isFalse(state, job)) {
      findings.add(answer.at(), Rule.FALSE_FINAL_STATE, job.id + " is shown as " + state);
    }
  }

  private static boolean wentBack(JobState earlier, JobState state) {
    return earlier.isFinal() ? state != earlier : state.ordinal() < earlier.ordinal();
  }

  private boolean isFalse(JobState state, JobFacts job) {
    return switch (state) {
      case PENDING, RUNNING -> false;
      case COMPLETED -> !job.isDone();
      case CANCELLED -> !job.cancelSent;
      case FAILED -> !job.mayHaveFailed();
    };
  }

  void keyWithdrawn(KeyWithdrawn withdrawal) {
    withdrawnAt.put(withdrawal.key(), withdrawal.at());
  }

  void hostHalted(HostHalted halt) {
    halts.add(halt);
  }

  void plannedStop(PlannedStop stop) {
    stoppedUntil.put(stop.host(), Long.MAX_VALUE);
  }

  void hostEnded(HostEnded end) {
    stoppedUntil.computeIfPresent(end.host(), (host, until) -> Math.min(until, end.at()));
    if (!end.expected()) {
      findings.add(end.at(), Rule.HOST_ENDED, end.host() + " with status " + end.status());
    }
  }
}
