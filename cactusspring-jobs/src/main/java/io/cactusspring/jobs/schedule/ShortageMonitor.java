package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/**
 * Detects for each service whether the waiting work fits into the free capacity, and plans which
 * jobs run later while it does not.
 */
class ShortageMonitor {
  /** A job that arrives in a shortage waits for less than half of the latency of a quick job. */
  static final long PLAN_INTERVAL_MILLIS = 100;

  /** From this fraction of its work on, deferring a job would waste what it has received. */
  private static final double MAX_DONE_FRACTION = 0.5;

  /** Long-running tasks that find no room must not hide that there is a shortage. */
  private static final double MIN_LEFT_SHARE = 0.1;

  /** Finer differences than a thousand times the entitlement do not matter. */
  private static final int MAX_OVERUSE = 10;

  private final OwnerState state;
  private Map<String, ShortagePlan> plans = Map.of();
  private Map<String, Double> useOverEntitlement = Map.of();

  /** Computed once for each job and plan, because the order is needed in every round. */
  private final Map<LiveJob, Long> criticalPathMillis = new IdentityHashMap<>();

  private long checkedAt = Long.MIN_VALUE / 2;

  /**
   * The objective of a job.
   *
   * @param dueAt when the job is to complete
   * @param overdue whether it is too late to be of use to its caller
   */
  record Objective(long dueAt, boolean overdue) {}

  /** Computes the objective of the job that a step belongs to. */
  @FunctionalInterface
  interface Objectives {
    Objective of(LiveStep step, long now);
  }

  ShortageMonitor(OwnerState state) {
    this.state = state;
  }

  /** Updates the plans, unless they are recent; returns whether it did. */
  boolean update(List<LiveStep> waiting, Objectives objectives, long now) {
    if (now - checkedAt < PLAN_INTERVAL_MILLIS) {
      return false;
    }
    checkedAt = now;
    criticalPathMillis.clear();
    Set<String> scarce = scarceServices(waiting, now);
    if (scarce.isEmpty()) {
      plans = Map.of();
      return true;
    }
    useOverEntitlement =
        state.accounts.useOverEntitlement(
            1_000 * leftByLongRunning(state.totalCapacity().milliProcessors() / 1_000.0, j -> true),
            now);
    Map<String, ShortagePlan> updated = new HashMap<>();
    scarce.forEach(s -> updated.put(s, plan(s, objectives, now)));
    plans = updated;
    return true;
  }

  /** Returns whether the waiting work of a service does not fit into its free capacity. */
  boolean isShort(String service) {
    return plans.containsKey(service);
  }

  /** Returns whether a job runs after the others of its priority in a shortage. */
  boolean defers(String service, LiveJob job) {
    ShortagePlan plan = plans.get(service);
    return plan != null && plan.defers(job.id());
  }

  /**
   * Returns how far an organisation is above its entitlement, in whole doublings. Equal
   * organisations with few large jobs differ by less than that by chance.
   */
  int overuse(String organisation) {
    double ratio = useOverEntitlement.getOrDefault(organisation, 0.0);
    if (ratio <= 1) {
      return 0;
    }
    return (int) Math.min(MAX_OVERUSE, Math.floor(Math.log(ratio) / Math.log(2)));
  }

  /** Returns the duration of the longest chain of unfinished steps of a job. */
  long criticalPathMillis(LiveJob job) {
    return criticalPathMillis.computeIfAbsent(
        job, j -> Math.round(RemainingWork.of(j, state.durations).criticalPathMillis()));
  }

  private Set<String> scarceServices(List<LiveStep> waiting, long now) {
    Map<String, List<LiveStep>> byService =
        waiting.stream()
            // What waits because of a limit does not show that capacity is short.
            .filter(s -> state.withinLimit(s, 1))
            .collect(Collectors.groupingBy(s -> state.queue(s.job()).service()));
    return byService.entrySet().stream()
        .filter(e -> !fits(e.getKey(), e.getValue(), now))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * Returns whether as many tasks of the mean size fit on the executors of a service as wait. Whole
   * tasks are counted, because the remainders on many executors add up to capacity that no task can
   * use.
   */
  private boolean fits(String service, List<LiveStep> waiting, long now) {
    long tasks = 0;
    double processors = 0;
    double memory = 0;
    for (LiveStep step : waiting) {
      long due = step.due(now).count();
      Resources one = step.spec().committed();
      tasks += due;
      processors += due * (double) one.milliProcessors();
      memory += due * (double) one.memoryMib();
    }
    Resources mean = new Resources(Math.round(processors / tasks), Math.round(memory / tasks), 0);
    long room = 0;
    for (LiveExecutor executor : state.executors.values()) {
      if (executor.isUsable(now) && executor.info().service().equals(service)) {
        room += count(executor.free(), mean);
        if (room >= tasks) {
          return true;
        }
      }
    }
    return false;
  }

  private static long count(Resources free, Resources one) {
    return Math.min(
        one.milliProcessors() == 0
            ? Integer.MAX_VALUE
            : free.milliProcessors() / one.milliProcessors(),
        one.memoryMib() == 0 ? Integer.MAX_VALUE : free.memoryMib() / one.memoryMib());
  }

  private ShortagePlan plan(String service, Objectives objectives, long now) {
    double total =
        state.executors.values().stream()
            .filter(e -> e.isUsable(now) && e.info().service().equals(service))
            .mapToLong(e -> e.info().capacity().milliProcessors())
            .sum();
    double processors =
        leftByLongRunning(total / 1_000.0, j -> state.queue(j).service().equals(service));
    List<ShortagePlan.Candidate> candidates = new ArrayList<>();
    Map<String, LiveJob> jobs = new HashMap<>();
    for (LiveJob job : state.jobs.values()) {
      Queue queue = state.queue(job);
      if (!job.longRunning() && queue.service().equals(service) && !job.steps().isEmpty()) {
        Objective objective = objectives.of(job.steps().get(0), now);
        if (!objective.overdue) {
          jobs.put(job.id(), job);
          candidates.add(candidate(job, queue, objective, now));
        }
      }
    }
    ShortagePlan plan =
        ShortagePlan.of(
            candidates,
            new ShortagePlan.Capacity(processors, state.arrivingWork.processors(service, now)));
    candidates.stream()
        .filter(c -> plan.defers(c.id()) && jobs.get(c.id()).firstDeferral())
        .forEach(c -> log(c, plan, jobs.get(c.id()).spec().organisation()));
    return plan;
  }

  /** Returns the processors that long-running tasks neither use nor wait for. */
  private double leftByLongRunning(double total, Predicate<LiveJob> filter) {
    double longRunning =
        state.jobs.values().stream()
            .filter(LiveJob::longRunning)
            .filter(filter)
            .flatMap(j -> j.steps().stream())
            .filter(s -> s.spec().longRunning())
            .mapToDouble(s -> s.unfinishedTasks() * RemainingWork.processorsOf(s.spec()))
            .sum();
    return Math.max(total - longRunning, MIN_LEFT_SHARE * total);
  }

  private ShortagePlan.Candidate candidate(
      LiveJob job, Queue queue, Objective objective, long now) {
    RemainingWork anew = RemainingWork.of(job, state.durations);
    criticalPathMillis.put(job, Math.round(anew.criticalPathMillis()));
    double running = work(job, queue, LiveStep::runningTasks);
    double all = work(job, queue, s -> s.tasks().size());
    double left = Math.max(0, anew.processorMillis() - running);
    boolean waits = job.steps().stream().anyMatch(LiveStep::hasWaiting);
    // The occurrences of a scheduled job have no objective of their own.
    boolean once = job.spec().repetitions() == 0;
    return new ShortagePlan.Candidate(
        job.id(),
        job.surplus(),
        queue.priority(),
        new RemainingWork(Math.max(0, anew.criticalPathMillis() - elapsedMillis(job, now)), left),
        once ? objective.dueAt - now : Double.POSITIVE_INFINITY,
        once && waits && left >= (1 - MAX_DONE_FRACTION) * all,
        overuse(job.spec().organisation()));
  }

  /**
   * Returns for how long all tasks of the current steps of a job have run, which {@link
   * RemainingWork} leaves out; 0 if one of them waits.
   */
  private static long elapsedMillis(LiveJob job, long now) {
    List<LiveStep> current = job.steps().stream().filter(s -> s.isReady() && !s.isDone()).toList();
    if (current.stream().anyMatch(LiveStep::hasWaiting)) {
      return 0;
    }
    return current.stream()
        .flatMap(s -> s.tasks().stream())
        .filter(t -> !t.isDone())
        .mapToLong(t -> now - t.run().phaseAt())
        .min()
        .orElse(0);
  }

  /** Returns the expected processor-milliseconds of some tasks of each step of a job. */
  private double work(LiveJob job, Queue queue, ToIntFunction<LiveStep> tasks) {
    return job.steps().stream()
        .mapToDouble(
            s ->
                tasks.applyAsInt(s)
                    * state.durations.expectedMillis(queue.name(), s.spec())
                    * s.spec().committed().milliProcessors()
                    / 1_000)
        .sum();
  }

  private void log(ShortagePlan.Candidate job, ShortagePlan plan, String organisation) {
    state.decisionListener.decisionMade(
        Kind.JOB_DEFERRED,
        job.id(),
        "",
        "expected wait "
            + Math.round(plan.expectedWaitMillis().get(job.id()))
            + " ms, objective in "
            + Math.round(job.objectiveInMillis())
            + " ms, critical path "
            + Math.round(job.remaining().criticalPathMillis())
            + " ms, organisation at "
            + Math.round(100 * useOverEntitlement.getOrDefault(organisation, 0.0))
            + "% of its entitlement");
  }
}
