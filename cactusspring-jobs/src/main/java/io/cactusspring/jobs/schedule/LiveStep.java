package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The owner's state of one step of one occurrence of a job. */
final class LiveStep {
  private static final long NEVER_TRIED = -1;

  private final StepId id;
  private final StepSpec spec;
  private final LiveJob job;
  private final WaitingSteps waitingSteps;
  private final List<LiveTask> tasks;
  private final Attempts gangAttempts = Attempts.ofGang();
  private final Set<LiveTask> waiting;
  private final Map<LiveExecutor, Integer> runsByExecutor = new IdentityHashMap<>();
  private final Set<LiveExecutor> failedOn = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Tickets tickets = new Tickets();
  private int doneTasks;
  private int begunTasks;
  private boolean begun;
  private boolean ready;
  private long readySince;
  private long doneAt = Long.MIN_VALUE;
  private StageTimes stages = StageTimes.NONE;
  private long triedAtVersion = NEVER_TRIED;
  private long expensiveSearchNotBefore = Long.MIN_VALUE;

  LiveStep(StepId id, StepSpec spec, LiveJob job, WaitingSteps waitingSteps, long now) {
    this.id = id;
    this.spec = spec;
    this.job = job;
    this.waitingSteps = waitingSteps;
    tasks =
        IntStream.range(0, spec.tasks())
            .mapToObj(
                i ->
                    new LiveTask(
                        new TaskId(id.job(), id.occurrence(), id.step(), i),
                        this,
                        spec.gang() ? gangAttempts : Attempts.ofTask(),
                        now))
            .toList();
    waiting = new LinkedHashSet<>(tasks);
  }

  StepId id() {
    return id;
  }

  StepSpec spec() {
    return spec;
  }

  LiveJob job() {
    return job;
  }

  List<LiveTask> tasks() {
    return tasks;
  }

  /** Records that a task of the step has failed on an executor. */
  void failedOn(LiveExecutor executor) {
    failedOn.add(executor);
  }

  /** Returns whether a task of the step has failed on an executor. */
  boolean hasFailedOn(LiveExecutor executor) {
    return failedOn.contains(executor);
  }

  /** Returns whether a task of the step has failed on another executor than the given one. */
  boolean hasFailedElsewhere(LiveExecutor executor) {
    return failedOn.size() > (failedOn.contains(executor) ? 1 : 0);
  }

  Tickets tickets() {
    return tickets;
  }

  boolean isDone() {
    return doneTasks == tasks.size();
  }

  /** Returns the number of tasks that are not done. */
  int unfinishedTasks() {
    return tasks.size() - doneTasks;
  }

  /** Returns the number of tasks that have no run and are not done. */
  int waitingTasks() {
    return waiting.size();
  }

  /** Returns whether the step may start: it is due and all preceding steps are done. */
  boolean isReady() {
    return ready;
  }

  void becomeReady(long now) {
    if (!ready) {
      ready = true;
      readySince = now;
      waitingSteps.update(this);
    }
  }

  long readySince() {
    return readySince;
  }

  /** Records when the last task ended, and where the time of the step went. */
  void done(StageTimes spent, long now) {
    stages = spent;
    doneAt = now;
  }

  /** Returns when the last task ended under this owner; before all times otherwise. */
  long doneAt() {
    return doneAt;
  }

  /** Returns where the time of the step went, which is known once it is done. */
  StageTimes stages() {
    return stages;
  }

  /** Returns whether any task has no run and is not done. */
  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** Returns the number of tasks that have a run. */
  int runningTasks() {
    return tasks.size() - doneTasks - waiting.size();
  }

  /** Returns the tasks that have no run and are not done. */
  Stream<LiveTask> waiting() {
    return waiting.stream();
  }

  Stream<LiveTask> due(long now) {
    return waiting.stream().filter(t -> t.isDue(now));
  }

  int runsOn(LiveExecutor executor) {
    return runsByExecutor.getOrDefault(executor, 0);
  }

  boolean hasBegun() {
    return begun;
  }

  /** Returns the number of tasks that have begun and are not done. */
  int begunTasks() {
    return begunTasks;
  }

  void taskBegun() {
    begunTasks++;
  }

  void begunTaskDone() {
    begunTasks--;
  }

  /** Records that a task got a run, is done, or waits again; called by the task. */
  void taskChanged(
      LiveTask task, Optional<LiveExecutor> before, Optional<LiveExecutor> after, boolean done) {
    begun |= done || after.isPresent() || task.lastRun() > 0;
    before.ifPresent(e -> runsByExecutor.computeIfPresent(e, (k, n) -> n == 1 ? null : n - 1));
    after.ifPresent(e -> runsByExecutor.merge(e, 1, Integer::sum));
    if (done) {
      doneTasks++;
    }
    boolean waits = !done && after.isEmpty();
    if (waits ? waiting.add(task) : waiting.remove(task)) {
      triedAtVersion = NEVER_TRIED;
      waitingSteps.update(this);
    }
  }

  /**
   * Returns the {@link OwnerState#version} at which no executor was found for the waiting tasks;
   * only executors that changed since can have room now.
   */
  long triedAtVersion() {
    return triedAtVersion;
  }

  void triedAtVersion(long version) {
    triedAtVersion = version;
  }

  /** Requests a search among all executors, because there are new tickets or limits. */
  void retry() {
    triedAtVersion = NEVER_TRIED;
    expensiveSearchNotBefore = Long.MIN_VALUE;
  }

  /** Returns whether a search that looks at all executors is due. */
  boolean expensiveSearchDue(long now) {
    return now >= expensiveSearchNotBefore;
  }

  void expensiveSearchNotBefore(long when) {
    expensiveSearchNotBefore = when;
  }

  /** Returns whether a run of any task, or of the gang, has failed. */
  boolean hasFailures() {
    return tasks.stream().anyMatch(t -> t.attempts().failures() > 0);
  }

  /** Returns the failures and the runs to which they belong, for the log. */
  String describeFailures() {
    String failures =
        spec.gang()
            ? "failures "
                + gangAttempts.failures()
                + ", last counted run "
                + gangAttempts.failedRun()
            : "failures by task " + tasks.stream().map(t -> t.attempts().failures()).toList();
    return failures
        + ", last run "
        + tasks.stream().mapToInt(LiveTask::lastRun).max().orElse(0)
        + ", tasks with a run "
        + runningTasks();
  }

  /** Restores stored progress of a step that is not done. */
  void restore(StepProgress stored) {
    int known = Math.min(tasks.size(), stored.tasks().size());
    if (spec.gang()) {
      gangAttempts.restoreGang(stored);
    }
    IntStream.range(0, known).forEach(i -> tasks.get(i).restore(stored.tasks().get(i)));
  }

  /** Returns the progress to store while the step is not done. */
  StepProgress progress() {
    return new StepProgress(
        id.occurrence(),
        id.step(),
        false,
        tasks.stream().map(t -> t.progress(storesCounts(t))).toList(),
        gangAttempts.failedRun(),
        gangAttempts.crashes().countedRun());
  }

  /**
   * Returns whether the record of a task holds counts. Earlier versions add up those of the members
   * of a gang, so the first member holds those of the gang.
   */
  private boolean storesCounts(LiveTask task) {
    return !spec.gang() || task == tasks.get(0);
  }
}
