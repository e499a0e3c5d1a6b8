package io.cactusspring.jobs.simulation;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Checks that accepted work which can run does run, by what the simulated executors do.
 *
 * <p>No job that is accepted and not final may have nothing running for {@link #WAIT_MILLIS} while
 * a task's turn has come, executors that may run it have room for it twice over, its organisation
 * uses less than half of its limit, and less than half of the capacity is in use. For a
 * long-running task the same holds for each task. The bound applies after a calm time, and in any
 * case in the last {@link #WAIT_MILLIS} of the {@link #SETTLE_MILLIS} that follow the last fault.
 */
public final class WaitingWorkCheck {
  /** Longest time for which nothing of a job may run although it could. */
  public static final long WAIT_MILLIS = 3_000;

  /** Time without faults that has to precede the wait. */
  public static final long CALM_MILLIS = 4_000;

  /** Time after the last fault and arrival at whose end no job may be waiting. */
  public static final long SETTLE_MILLIS = 14_000;

  /** Time after the end of a run during which a long-running task may pause. */
  private static final long RESTART_MILLIS = 6_000;

  private static final long INTERVAL_MILLIS = 50;

  private final ClusterSimulation simulation;
  private final Map<String, JobSpec> accepted = new LinkedHashMap<>();

  /** The accepted jobs of which something may still have to run. */
  private final Map<String, JobSpec> unfinished = new LinkedHashMap<>();

  private final Set<String> cancelled = new HashSet<>();
  private final Map<String, Long> waitingSince = new HashMap<>();
  private final Map<TaskId, Long> lastRunningAt = new HashMap<>();
  private final Set<String> reported = new HashSet<>();
  private long faultsUntil;
  private long settledAt = Long.MAX_VALUE;
  private long longestMillis;
  private String longest = "none";

  public WaitingWorkCheck(ClusterSimulation simulation) {
    this.simulation = simulation;
    simulation.time().after(INTERVAL_MILLIS, this::tick);
  }

  /** Records that a job was accepted. */
  public void accepted(JobSpec spec) {
    if (accepted.putIfAbsent(spec.id(), spec) == null) {
      unfinished.put(spec.id(), spec);
    }
  }

  /** Records that the cancellation of a job was requested. */
  public void cancelled(String job) {
    cancelled.add(job);
  }

  /** Records that a fault is active for a number of milliseconds from now. */
  public void faultFor(long millis) {
    faultsUntil = Math.max(faultsUntil, simulation.time().now() + millis);
  }

  /** Records that no more jobs arrive and no fault is active from now on. */
  public void trafficEnded() {
    settledAt = simulation.time().now() + SETTLE_MILLIS;
  }

  /**
   * Returns the longest time in milliseconds for which work that could run was waiting in a calm
   * time, within the bound or not.
   */
  public long longestWaitMillis() {
    return longestMillis;
  }

  /** Describes the work that waited longest in a calm time. */
  public String longestWait() {
    return longest;
  }

  private void tick() {
    Cluster cluster = new Cluster();
    unfinished.values().removeIf(simulation.oracle()::isDoneForGood);
    unfinished.values().stream().filter(this::isOpen).forEach(spec -> check(spec, cluster));
    simulation.time().after(INTERVAL_MILLIS, this::tick);
  }

  /** Returns whether a job may still have to run: it is neither cancelled nor final. */
  private boolean isOpen(JobSpec spec) {
    return !cancelled.contains(spec.id())
        && !isGivenUp(spec)
        && !isCompleted(spec)
        && tasks(spec)
            .noneMatch(
                t ->
                    !spec.steps().get(t.step()).longRunning()
                        && simulation.oracle().failures(t) >= ClusterSimulation.MAX_ATTEMPTS);
  }

  /** Returns whether a job is stored as failed, and enough executors have crashed under a task. */
  private boolean isGivenUp(JobSpec spec) {
    return simulation.oracle().mayFail(spec) && simulation.isStoredAsFailed(spec.id());
  }

  /**
   * Returns whether a job is stored as completed and each of its tasks has ended so, although a
   * lease may have lapsed between such an end and its acknowledgement.
   */
  private boolean isCompleted(JobSpec spec) {
    return simulation.isStoredAsCompleted(spec.id())
        && tasks(spec).allMatch(simulation.oracle()::hasEndedDone);
  }

  private static Stream<TaskId> tasks(JobSpec spec) {
    return IntStream.range(0, spec.occurrences())
        .boxed()
        .flatMap(
            k -> IntStream.range(0, spec.steps().size()).boxed().flatMap(s -> ofStep(spec, k, s)));
  }

  private void check(JobSpec spec, Cluster cluster) {
    long now = simulation.time().now();
    List<TaskId> due = tasks(spec).filter(t -> isDue(spec, t, true)).toList();
    Set<TaskId> running = cluster.runningByJob.getOrDefault(spec.id(), Set.of());
    running.forEach(t -> lastRunningAt.put(t, now));
    Map<StepId, Boolean> startable = new HashMap<>();
    due.stream()
        .filter(t -> spec.steps().get(t.step()).longRunning())
        .forEach(
            t -> {
              boolean waits = !running.contains(t) && canStart(spec, t, cluster, startable);
              long from = lastRunningAt.getOrDefault(t, now - RESTART_MILLIS) + RESTART_MILLIS;
              update(t.toString(), waits && now >= from, t, spec);
            });
    Optional<TaskId> waiting =
        running.isEmpty()
            ? due.stream().filter(t -> canStart(spec, t, cluster, startable)).findFirst()
            : Optional.empty();
    // The owner need not have received ends that were lost with their executor.
    boolean canStartWithoutLostEnds =
        waiting.isPresent()
            && tasks(spec)
                .anyMatch(t -> isDue(spec, t, false) && canStart(spec, t, cluster, startable));
    boolean lasts = waiting.filter(t -> spec.steps().get(t.step()).longRunning()).isPresent();
    update(spec.id(), canStartWithoutLostEnds && !lasts, waiting.orElse(null), spec);
  }

  private boolean isDue(JobSpec spec, TaskId task, boolean doubtful) {
    Oracle oracle = simulation.oracle();
    return spec.dueMillis(task.occurrence()) <= simulation.time().now()
        && !oracle.isDone(task, doubtful)
        && spec.steps().get(task.step()).after().stream()
            .flatMap(s -> ofStep(spec, task.occurrence(), s))
            .allMatch(t -> oracle.isDone(t, doubtful));
  }

  private static Stream<TaskId> ofStep(JobSpec spec, int occurrence, int step) {
    return IntStream.range(0, spec.steps().get(step).tasks())
        .mapToObj(i -> new TaskId(spec.id(), occurrence, step, i));
  }

  private static boolean canStart(
      JobSpec spec, TaskId task, Cluster cluster, Map<StepId, Boolean> known) {
    StepId step = new StepId(task.job(), task.occurrence(), task.step());
    return known.computeIfAbsent(step, s -> cluster.hasRoomTwice(spec, s));
  }

  private void update(String subject, boolean waits, TaskId task, JobSpec spec) {
    if (!waits) {
      waitingSince.remove(subject);
      return;
    }
    long now = simulation.time().now();
    long since = waitingSince.computeIfAbsent(subject, s -> now);
    long calmMillis = now - Math.max(since, faultsUntil + CALM_MILLIS);
    if (calmMillis > longestMillis) {
      longestMillis = calmMillis;
      longest = task + " of queue " + spec.queue().name() + " since " + since + " ms";
    }
    boolean calm = since >= faultsUntil + CALM_MILLIS;
    boolean settled = now >= settledAt && since <= settledAt - WAIT_MILLIS;
    if (now - since >= WAIT_MILLIS && (calm || settled) && reported.add(subject)) {
      simulation
          .oracle()
          .recordViolation(
              settled ? "waiting at the end" : "waiting",
              task
                  + " could run since "
                  + since
                  + " ms, "
                  + describe(spec.steps().get(task.step()))
                  + ", queue "
                  + spec.queue().name());
    }
  }

  private static String describe(StepSpec step) {
    return step.tasks()
        + " in its step, "
        + step.resources().milliProcessors()
        + " milliprocessors"
        + (step.gang() ? ", gang" : "")
        + (step.longRunning() ? ", long-running" : "")
        + (step.maxPerExecutor() > 0 ? ", " + step.maxPerExecutor() + " on an executor" : "");
  }

  /** What the executors run at one time. */
  private final class Cluster {
    private final Map<String, Set<TaskId>> runningByJob = new HashMap<>();
    private final List<FakeExecutor> usable;
    private Resources used = Resources.NONE;
    private Resources capacity = Resources.NONE;

    Cluster() {
      simulation.executors().stream()
          .filter(FakeExecutor::isUp)
          .flatMap(e -> e.tasks().stream())
          .forEach(t -> runningByJob.computeIfAbsent(t.job(), j -> new HashSet<>()).add(t));
      usable =
          simulation.executors().stream()
              .filter(e -> e.takesTasks() && simulation.isListed(e))
              .filter(e -> !simulation.oracle().isEvacuated(e.zone()))
              .toList();
      for (FakeExecutor e : usable) {
        used = used.plus(e.committed());
        capacity = capacity.plus(e.capacity());
      }
    }

    /** Returns whether a task of a step, or its gang, has room twice over. */
    boolean hasRoomTwice(JobSpec spec, StepId id) {
      StepSpec step = spec.steps().get(id.step());
      Queue queue = simulation.configuration().queue(spec.queue().name()).orElse(spec.queue());
      long wanted = 2L * (step.gang() ? step.tasks() : 1);
      return used.times(2).fitsIn(capacity)
          && isBelowHalfOfLimit(spec)
          && usable.stream()
                  .filter(e -> !queue.needsAdvice() || simulation.isAllowed(id, e.id()))
                  .filter(e -> hasLabel(e, step))
                  .mapToLong(e -> room(e, id, step, wanted))
                  .sum()
              >= wanted;
    }

    private static boolean hasLabel(FakeExecutor executor, StepSpec step) {
      return step.requiredLabel().isEmpty() || executor.labels().contains(step.requiredLabel());
    }

    private static long room(FakeExecutor executor, StepId id, StepSpec step, long wanted) {
      Resources occupied = executor.committed();
      long here =
          executor.tasks().stream()
              .filter(t -> new StepId(t.job(), t.occurrence(), t.step()).equals(id))
              .count();
      long max = step.maxPerExecutor() == 0 ? wanted : step.maxPerExecutor() - here;
      long tasks = 0;
      while (tasks < max
          && occupied.plus(step.committed().times((int) tasks + 1)).fitsIn(executor.capacity())) {
        tasks++;
      }
      return tasks;
    }

    private boolean isBelowHalfOfLimit(JobSpec spec) {
      Resources use =
          accepted.values().stream()
              .filter(s -> s.organisation().equals(spec.organisation()))
              .flatMap(
                  s ->
                      runningByJob.getOrDefault(s.id(), Set.of()).stream()
                          .map(t -> s.steps().get(t.step()).resources()))
              .reduce(Resources.NONE, Resources::plus);
      return simulation
          .configuration()
          .organisation(spec.organisation())
          .map(o -> o.allows(use.times(2)))
          .orElse(true);
    }
  }
}
