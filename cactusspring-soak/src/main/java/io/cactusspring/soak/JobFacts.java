package io.cactusspring.soak;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.platform.standin.CallerClient.Verdict;
import io.cactusspring.soak.Observation.Answered;
import io.cactusspring.soak.Observation.Started;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** What was seen of one job. */
final class JobFacts {
  private static final Set<Verdict> NOT_STORED =
      Set.of(Verdict.REJECTED, Verdict.UNKNOWN_KEY, Verdict.NOT_SENT);

  /** A run of a task on one executor, where a late start may carry it out once more. */
  record RunKey(TaskId task, int run, String executor) {}

  final String id;
  final String organisation;
  final Queue queue;
  final List<StepSpec> steps;
  final long firstSentAt;
  final Set<TaskId> done = new HashSet<>();
  final Set<TaskId> acknowledgedDone = new HashSet<>();

  /** When runs ended done, whether the ends were acknowledged or not. */
  final Map<RunKey, Long> doneRuns = new HashMap<>();

  /** Starts of tasks none of whose ends as done had been acknowledged. */
  final List<Started> starts = new ArrayList<>();

  final Map<TaskId, Integer> crashes = new HashMap<>();
  final Set<TaskId> crashingTasks = new HashSet<>();
  final Map<TaskId, Integer> startsAfterCrashes = new HashMap<>();
  final Map<TaskId, Long> lastEnds = new HashMap<>();
  private final Map<TaskId, FailedRuns> failedRuns = new HashMap<>();
  private final List<Answered> states = new ArrayList<>();
  long acceptedAt = -1;
  long cancelledAt = -1;
  long firstStartAt = -1;
  boolean cancelSent;
  private int openSubmissions;
  private boolean perhapsStored;
  private boolean keyRefused;

  JobFacts(String id, String organisation, Queue queue, List<StepSpec> steps, long firstSentAt) {
    this.id = id;
    this.organisation = organisation;
    this.queue = queue;
    this.steps = steps;
    this.firstSentAt = firstSentAt;
  }

  void sent() {
    openSubmissions++;
  }

  void answered(Answered answer) {
    openSubmissions--;
    keyRefused |= answer.verdict() == Verdict.UNKNOWN_KEY;
    perhapsStored |= !NOT_STORED.contains(answer.verdict());
    if (answer.verdict() == Verdict.ACCEPTED && acceptedAt < 0) {
      acceptedAt = answer.at();
    }
  }

  /** Returns whether every submission so far was answered as not run. */
  boolean certainlyNotStored() {
    return openSubmissions == 0 && !perhapsStored;
  }

  /** Returns whether the caller lost time with a withdrawn key. */
  boolean wasKeyRefused() {
    return keyRefused;
  }

  void stateSeen(Answered answer) {
    states.add(answer);
  }

  /** Returns the states that were seen by callers before a time. */
  Stream<JobState> statesBefore(long time) {
    return states.stream().filter(s -> s.at() < time).map(Answered::state);
  }

  boolean isFinal() {
    return states.stream().anyMatch(s -> s.state().isFinal());
  }

  /** Returns whether the job is accepted and has neither ended nor been asked to. */
  boolean isOpen() {
    return acceptedAt >= 0 && !cancelSent && !isFinal();
  }

  /**
   * Returns whether the job may be given up: a task, or a gang, has failed as often as it may, or
   * two executors have crashed under a task.
   */
  boolean mayHaveFailed() {
    return crashes.values().stream().anyMatch(n -> n >= 2)
        || failedRuns.values().stream().anyMatch(r -> r.count() >= queue.maxAttempts());
  }

  /** Returns the failed runs of a task, or of its gang. */
  FailedRuns failedRuns(TaskId task) {
    boolean gang = steps.get(task.step()).gang();
    TaskId first = new TaskId(task.job(), task.occurrence(), task.step(), 0);
    return failedRuns.computeIfAbsent(gang ? first : task, t -> new FailedRuns());
  }

  /** Returns the failed runs of each gang of which a member has started. */
  Stream<FailedRuns> failedRunsOfGangs() {
    return failedRuns.entrySet().stream()
        .filter(e -> steps.get(e.getKey().step()).gang())
        .map(Map.Entry::getValue);
  }

  /** Returns the tasks of a step that are not done, or none before the step's turn. */
  List<TaskId> due(int step) {
    return steps.get(step).after().stream().allMatch(this::isStepDone)
        ? tasksOf(step).filter(t -> !done.contains(t)).toList()
        : List.of();
  }

  /** Returns whether a caller was told that the job is stored. */
  boolean isKnown() {
    return acceptedAt >= 0 || !states.isEmpty();
  }

  Stream<TaskId> tasksOf(int step) {
    return IntStream.range(0, steps.get(step).tasks()).mapToObj(i -> new TaskId(id, 0, step, i));
  }

  boolean isStepDone(int step) {
    return tasksOf(step).allMatch(done::contains);
  }

  boolean isDone() {
    return IntStream.range(0, steps.size()).allMatch(this::isStepDone);
  }
}
