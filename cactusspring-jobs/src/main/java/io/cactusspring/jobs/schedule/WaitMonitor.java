package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Reports steps that wait for long, and why: those of jobs of which nothing runs, and long-running
 * ones with a task that does not run. Each gets a line once it is old enough, and again each time
 * that its age has doubled.
 */
final class WaitMonitor {
  private static final long INTERVAL_MILLIS = 1_000;
  private static final long MIN_AGE_MILLIS = 3_000;

  /** Bounds the time that a pass takes, and its lines. */
  static final int MAX_STEPS_PER_PASS = 32;

  private static final class Wait {
    private long nextLineAgeMillis = MIN_AGE_MILLIS;
    private WaitReason reason;
  }

  /** A step and since when it has waited, as far as this owner knows. */
  private record WaitingStep(LiveStep step, long since) {
    long age(long now) {
      return now - since;
    }
  }

  private final OwnerState state;
  private final Map<LiveStep, Wait> waits = new IdentityHashMap<>();
  private long nextPassAt;

  WaitMonitor(OwnerState state, long now) {
    this.state = state;
    nextPassAt = now + INTERVAL_MILLIS;
  }

  /**
   * Reports the steps of which a line is due.
   *
   * @param ranked the steps with waiting tasks, in the order of their placement
   */
  void check(AdviceSlots slots, List<LiveStep> ranked, long now) {
    if (now < nextPassAt) {
      return;
    }
    nextPassAt = now + INTERVAL_MILLIS;
    List<WaitingStep> old = oldSteps(now);
    waits.keySet().retainAll(old.stream().map(WaitingStep::step).collect(Collectors.toSet()));
    WaitDiagnosis diagnosis = new WaitDiagnosis(state, slots, stepsBefore(old, ranked));
    old.stream()
        .sorted(
            Comparator.comparing((WaitingStep w) -> waits.containsKey(w.step))
                .thenComparing(w -> !isLineDue(w, now))
                .thenComparingLong(WaitingStep::since))
        .limit(MAX_STEPS_PER_PASS)
        .forEach(w -> report(w, diagnosis, now));
    state.decisionListener.oldestWaits(oldestByReason(old, now));
  }

  private boolean isLineDue(WaitingStep waiting, long now) {
    Wait known = waits.get(waiting.step);
    return known == null || waiting.age(now) >= known.nextLineAgeMillis;
  }

  private void report(WaitingStep waiting, WaitDiagnosis diagnosis, long now) {
    LiveStep step = waiting.step;
    Wait wait = waits.computeIfAbsent(step, s -> new Wait());
    wait.reason = diagnosis.of(step, now);
    long age = waiting.age(now);
    if (age < wait.nextLineAgeMillis) {
      return;
    }
    wait.nextLineAgeMillis = 2 * age;
    LiveJob job = step.job();
    boolean longer = job.adopted() && waiting.since == job.knownSince();
    state.decisionListener.decisionMade(
        Kind.STEP_WAITS,
        job.id(),
        step.id().toString(),
        "%s: %s; %d of %d tasks wait for %s%d ms, job accepted %d ms ago; queue %s"
            .formatted(
                wait.reason.code(),
                wait.reason.text(),
                step.tasks().stream().filter(WaitMonitor::isWaiting).count(),
                step.tasks().size(),
                longer ? "at least " : "",
                age,
                now - job.submittedAt(),
                job.spec().queue().name()));
  }

  private static boolean isWaiting(LiveTask task) {
    return task.isWaiting() || (task.executor() != null && !task.executor().answers());
  }

  private List<WaitingStep> oldSteps(long now) {
    Map<LiveStep, Long> unanswered = new IdentityHashMap<>();
    Map<String, Integer> unansweredByJob = new HashMap<>();
    state.executors.values().stream()
        .filter(e -> !e.answers())
        .forEach(e -> addRuns(e, unanswered, unansweredByJob));
    Stream<LiveStep> setAside =
        state.jobs.values().stream()
            .filter(LiveJob::isSetAside)
            .flatMap(j -> j.steps().stream())
            .filter(s -> s.isReady() && s.hasWaiting());
    return Stream.of(state.waitingSteps.all().stream(), unanswered.keySet().stream(), setAside)
        .flatMap(steps -> steps)
        .distinct()
        .filter(s -> s.spec().longRunning() || runsNothing(s.job(), unansweredByJob))
        .map(s -> new WaitingStep(s, waitingSince(s, unanswered)))
        .filter(w -> w.age(now) >= MIN_AGE_MILLIS)
        .toList();
  }

  private boolean runsNothing(LiveJob job, Map<String, Integer> unansweredByJob) {
    return state.runsOf(job.id()) == unansweredByJob.getOrDefault(job.id(), 0);
  }

  /** Adds the steps with runs on an executor that does not answer, and since when it does not. */
  private void addRuns(
      LiveExecutor executor, Map<LiveStep, Long> since, Map<String, Integer> runsByJob) {
    for (Run run : executor.runs()) {
      runsByJob.merge(run.key().task().job(), 1, Integer::sum);
      LiveTask task = state.task(run.key().task());
      if (task != null && task.run() == run) {
        long from =
            executor.isSilent()
                ? Math.max(executor.silentSince(), run.decidedAt())
                : run.decidedAt();
        since.merge(task.step(), from, Math::min);
      }
    }
  }

  private static long waitingSince(LiveStep step, Map<LiveStep, Long> unanswered) {
    if (isFirst(step) && !step.hasBegun()) {
      return step.job().submittedAt();
    }
    long waiting = step.waiting().mapToLong(LiveTask::waitingSince).min().orElse(Long.MAX_VALUE);
    long from = Math.min(waiting, unanswered.getOrDefault(step, Long.MAX_VALUE));
    return Math.max(step.readySince(), from);
  }

  /** Returns whether the turn of a step came when its job was accepted. */
  private static boolean isFirst(LiveStep step) {
    return step.spec().after().isEmpty() && step.job().spec().repetitions() == 0;
  }

  /** Returns how many steps of the same service rank before each of the old steps. */
  private Map<LiveStep, Integer> stepsBefore(List<WaitingStep> old, List<LiveStep> ranked) {
    if (old.isEmpty()) {
      return Map.of();
    }
    Map<String, Integer> steps = new HashMap<>();
    Map<LiveStep, Integer> before = new IdentityHashMap<>();
    ranked.stream()
        .filter(LiveStep::hasWaiting)
        .forEach(
            s -> before.put(s, steps.merge(state.queue(s.job()).service(), 1, Integer::sum) - 1));
    return before;
  }

  /** Returns the age of the oldest step by its last known reason, in milliseconds. */
  private Map<String, Long> oldestByReason(List<WaitingStep> old, long now) {
    return old.stream()
        .filter(w -> waits.containsKey(w.step))
        .collect(
            Collectors.toMap(w -> waits.get(w.step).reason.code(), w -> w.age(now), Math::max));
  }
}
