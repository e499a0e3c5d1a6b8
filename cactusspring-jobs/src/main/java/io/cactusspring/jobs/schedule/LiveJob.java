package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The owner's state of a job. Occurrences of a scheduled job are added when they are due. */
final class LiveJob {
  // Wall clocks of hosts may jump, so a greater age is not plausible.
  private static final long MAX_AGE_MILLIS = 600_000;

  private final JobSpec spec;
  private final WaitingSteps waitingSteps;
  private final TreeMap<Integer, List<LiveStep>> occurrences = new TreeMap<>();
  private final Set<Integer> doneOccurrences = new HashSet<>();
  private final long submittedAt;
  private final long knownSince;
  private final long tasksPerOccurrence;
  private JobState state = JobState.PENDING;
  private boolean started;
  private boolean surplus;
  private boolean adopted;
  private boolean deferralLogged;
  private boolean setAside;
  private int nextOccurrence;

  LiveJob(JobEntry entry, WaitingSteps waitingSteps, long wallMillis, long now) {
    this.waitingSteps = waitingSteps;
    spec = entry.spec().orElseThrow();
    submittedAt = acceptedAt(spec, wallMillis, now);
    knownSince = now;
    tasksPerOccurrence = spec.steps().stream().mapToLong(StepSpec::tasks).sum();
    entry.progress().ifPresent(p -> restore(p, now));
    if (spec.repetitions() == 0 && !doneOccurrences.contains(0)) {
      occurrence(0, now);
    }
  }

  /** Returns when a job was accepted, in milliseconds on the monotonic clock of this host. */
  static long acceptedAt(JobSpec spec, long wallMillis, long now) {
    long age = wallMillis - spec.acceptedMillis();
    return now - Math.clamp(age, 0, MAX_AGE_MILLIS);
  }

  private void restore(JobProgress stored, long now) {
    state = stored.state();
    started = stored.started();
    stored.steps().forEach(s -> restoreStep(s, now));
    List.copyOf(occurrences.keySet()).stream()
        .filter(k -> occurrences.get(k).stream().allMatch(LiveStep::isDone))
        .forEach(this::finishOccurrence);
  }

  private void restoreStep(StepProgress stored, long now) {
    LiveStep step = occurrence(stored.occurrence(), now).get(stored.step());
    if (stored.done()) {
      step.tasks().forEach(LiveTask::complete);
    } else {
      step.restore(stored);
    }
  }

  JobSpec spec() {
    return spec;
  }

  String id() {
    return spec.id();
  }

  /** Returns when the job was accepted, in milliseconds on the monotonic clock of this host. */
  long submittedAt() {
    return submittedAt;
  }

  /** Returns since when this owner has known the job. */
  long knownSince() {
    return knownSince;
  }

  /** Returns whether the job was accepted before this owner took over. */
  boolean adopted() {
    return adopted;
  }

  void markAdopted() {
    adopted = true;
  }

  JobState state() {
    return state;
  }

  boolean isFinal() {
    return state.isFinal();
  }

  /** Returns whether any step of the job runs until the job is cancelled. */
  boolean longRunning() {
    return spec.steps().stream().anyMatch(StepSpec::longRunning);
  }

  /** Returns whether any task of the job was ever started. */
  boolean hasBegun() {
    return started;
  }

  /** Returns whether the job was submitted beyond the agreed rate of its organisation. */
  boolean surplus() {
    return surplus;
  }

  void markSurplus() {
    surplus = true;
  }

  /** Returns whether this is the first call, so that a deferral is logged once. */
  boolean firstDeferral() {
    boolean first = !deferralLogged;
    deferralLogged = true;
    return first;
  }

  /** Excludes the waiting tasks from placement for the rest of the term. */
  void setAside() {
    setAside = true;
    steps().forEach(waitingSteps::update);
  }

  /** Returns whether the waiting tasks are excluded from placement. */
  boolean isSetAside() {
    return setAside;
  }

  void finish(JobState end) {
    state = end;
    steps().forEach(waitingSteps::update);
  }

  void taskStarted() {
    started = true;
    state = state == JobState.PENDING ? JobState.RUNNING : state;
  }

  /** Returns the steps of an occurrence, after adding it if it is new. */
  List<LiveStep> occurrence(int number, long now) {
    return occurrences.computeIfAbsent(number, k -> newOccurrence(k, now));
  }

  private List<LiveStep> newOccurrence(int number, long now) {
    List<LiveStep> steps = new ArrayList<>();
    for (int i = 0; i < spec.steps().size(); i++) {
      steps.add(
          new LiveStep(new StepId(id(), number, i), spec.steps().get(i), this, waitingSteps, now));
    }
    return List.copyOf(steps);
  }

  /**
   * Adds the occurrences of a scheduled job that are due, as long as those in progress have few
   * tasks. The others are added by later calls.
   *
   * @param maxTasks highest number of tasks of all occurrences in progress, if there are several
   * @return Unix milliseconds at which the next occurrence is due; empty if there is none
   */
  OptionalLong addDue(long wallMillis, int maxTasks, long now) {
    for (; nextOccurrence < spec.repetitions(); nextOccurrence++) {
      long due = spec.dueMillis(nextOccurrence);
      if (due > wallMillis || !hasRoomForOccurrence(maxTasks)) {
        return OptionalLong.of(due);
      }
      if (!doneOccurrences.contains(nextOccurrence)) {
        occurrence(nextOccurrence, now);
      }
    }
    return OptionalLong.empty();
  }

  /** Returns whether one more occurrence may be in progress beside those that are. */
  boolean hasRoomForOccurrence(int maxTasks) {
    return occurrences.isEmpty() || (occurrences.size() + 1) * tasksPerOccurrence <= maxTasks;
  }

  /** Returns how many more tasks may begin beside those that have begun and are not done. */
  int roomForNewTasks(int maxTasks) {
    // Most jobs are small, and each round asks this for all waiting steps.
    boolean small = occurrences.size() * tasksPerOccurrence <= maxTasks;
    return small ? maxTasks : maxTasks - steps().stream().mapToInt(LiveStep::begunTasks).sum();
  }

  /** Marks the steps as ready of which all preceding steps are done. */
  void markReady(long now) {
    for (List<LiveStep> steps : occurrences.values()) {
      for (LiveStep step : steps) {
        if (!step.isReady() && step.spec().after().stream().allMatch(i -> steps.get(i).isDone())) {
          step.becomeReady(now);
        }
      }
    }
  }

  List<LiveStep> steps() {
    // Most jobs have one occurrence, and each round asks for the steps of all waiting ones.
    return occurrences.size() == 1
        ? occurrences.firstEntry().getValue()
        : occurrences.values().stream().flatMap(List::stream).toList();
  }

  LiveTask task(TaskId id) {
    List<LiveStep> steps = occurrences.get(id.occurrence());
    if (steps == null || id.step() >= steps.size()) {
      return null;
    }
    List<LiveTask> tasks = steps.get(id.step()).tasks();
    return id.index() < tasks.size() ? tasks.get(id.index()) : null;
  }

  /** Records a finished step; completes the job once all its occurrences are done. */
  void stepDone(LiveStep step) {
    int k = step.id().occurrence();
    if (occurrences.get(k).stream().allMatch(LiveStep::isDone)) {
      finishOccurrence(k);
    }
    if (doneOccurrences.size() == spec.occurrences()) {
      state = JobState.COMPLETED;
    }
  }

  private void finishOccurrence(int k) {
    occurrences.remove(k);
    doneOccurrences.add(k);
  }

  /** Returns whether a task of the job waits for the end of a run. */
  boolean waitsFor(Run run) {
    LiveTask task = isFinal() ? null : task(run.key().task());
    return task != null && task.run() == run;
  }

  /**
   * Returns the progress to store. The submission of a final job is deleted once all its runs are
   * over.
   *
   * @param unassigned runs that may be active although no task waits for their end
   */
  JobProgress progress(long term, long version, List<UnassignedRun> unassigned) {
    Map<StepId, List<UnassignedRun>> runsByStep =
        unassigned.stream()
            .collect(
                Collectors.groupingBy(
                    r -> r.key().task().stepId(), LinkedHashMap::new, Collectors.toList()));
    if (isFinal()) {
      List<StepProgress> steps =
          runsByStep.keySet().stream().map(s -> doneProgress(s, runsByStep)).toList();
      return new JobProgress(
          term, version, state, started, steps, spec.queue().name(), spec.organisation());
    }
    List<StepProgress> steps = new ArrayList<>();
    doneOccurrences.stream()
        .sorted()
        .forEach(
            k -> {
              for (int i = 0; i < spec.steps().size(); i++) {
                steps.add(doneProgress(new StepId(id(), k, i), runsByStep));
              }
            });
    steps().stream()
        .filter(LiveStep::hasBegun)
        .map(s -> s.isDone() ? doneProgress(s.id(), runsByStep) : s.progress())
        .forEach(steps::add);
    return new JobProgress(term, version, state, started, steps, "", "");
  }

  private static StepProgress doneProgress(
      StepId step, Map<StepId, List<UnassignedRun>> runsByStep) {
    List<UnassignedRun> runs = runsByStep.getOrDefault(step, List.of());
    return new StepProgress(step.occurrence(), step.step(), true, UnassignedRun.progress(runs));
  }
}
