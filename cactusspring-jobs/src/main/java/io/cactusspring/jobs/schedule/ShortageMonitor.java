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
  private Map<String, Map<String, Double>> useOverEntitlement = Map.of();

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
    boolean off = !state.uses(Mechanism.SHORTAGE_ORDER);
    if (off || now - checkedAt < PLAN_INTERVAL_MILLIS) {
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
        scarce.stream().collect(Collectors.toMap(s -> s, s -> useOverEntitlement(s, now)));
    Map<String, ShortagePlan> updated = new HashMap<>();
    scarce.forEach(s -> updated.put(s, plan(s, objectives, now)));
    plans = updated;
    return true;
  }

  private Map<String, Double> useOverEntitlement(String service, long now) {
    ResourceKind kind = state.scarceResource(service, now);
    double shared = leftByLongRunning(service, kind, kind.of(state.capacity(service)));
    return state.accounts.useOverEntitlement(service, kind, shared, now);
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
  int overuse(String service, String organisation) {
    double ratio = ratio(service, organisation);
    if (ratio <= 1 || !state.uses(Mechanism.FAIRNESS)) {
      return 0;
    }
    return (int) Math.min(MAX_OVERUSE, Math.floor(Math.log(ratio) / Math.log(2)));
  }

  private double ratio(String service, String organisation) {
    return useOverEntitlement.getOrDefault(service, Map.of()).getOrDefault(organisation, 0.0);
  }

  /** Returns the duration of the longest chain of unfinished steps of a job. */
  long criticalPathMillis(LiveJob job) {
    return criticalPathMillis.computeIfAbsent(
        job, j -> Math.round(RemainingWork.criticalPathMillis(j, state.durations)));
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
    List<Resources> free =
        state.executors.values().stream()
            .filter(e -> e.isUsable(now) && e.info().service().equals(service))
            .map(LiveExecutor::free)
            .toList();
    // Few tasks occupy whole executors where accelerators are scarce, so the mean hides the
    // largest.
    boolean largestFit =
        state.scarceResource(service, now) != ResourceKind.ACCELERATORS
            || waiting.stream()
                .map(s -> s.spec().committed())
                .allMatch(one -> free.stream().anyMatch(one::fitsIn));
    return largestFit && fitsOnAverage(waiting, free, now);
  }

  private static boolean fitsOnAverage(List<LiveStep> waiting, List<Resources> free, long now) {
    long tasks = 0;
    double processors = 0;
    double memory = 0;
    double accelerators = 0;
    for (LiveStep step : waiting) {
      long due = step.due(now).count();
      Resources one = step.spec().committed();
      tasks += due;
      processors += due * (double) one.milliProcessors();
      memory += due * (double) one.memoryMib();
      accelerators += due * (double) one.accelerators();
    }
    Resources mean =
        new Resources(
            Math.round(processors / tasks),
            Math.round(memory / tasks),
            (int) Math.ceil(accelerators / tasks));
    long room = 0;
    for (Resources one : free) {
      room += count(one, mean);
      if (room >= tasks) {
        return true;
      }
    }
    return false;
  }

  private static long count(Resources free, Resources one) {
    long byProcessors = quotient(free.milliProcessors(), one.milliProcessors());
    long byMemory = quotient(free.memoryMib(), one.memoryMib());
    long byAccelerators = quotient(free.accelerators(), one.accelerators());
    return Math.min(byProcessors, Math.min(byMemory, byAccelerators));
  }

  private static long quotient(long free, long one) {
    return one == 0 ? Integer.MAX_VALUE : free / one;
  }

  private ShortagePlan plan(String service, Objectives objectives, long now) {
    ResourceKind kind = state.scarceResource(service, now);
    double total =
        state.executors.values().stream()
            .filter(e -> e.isUsable(now) && e.info().service().equals(service))
            .mapToDouble(e -> kind.of(e.info().capacity()))
            .sum();
    double left = leftByLongRunning(service, kind, total);
    List<ShortagePlan.Candidate> candidates = new ArrayList<>();
    Map<String, LiveJob> jobs = new HashMap<>();
    for (LiveJob job : state.jobs.values()) {
      Queue queue = state.queue(job);
      if (!job.longRunning() && queue.service().equals(service) && !job.steps().isEmpty()) {
        Objective objective = objectives.of(job.steps().get(0), now);
        if (!objective.overdue) {
          jobs.put(job.id(), job);
          candidates.add(candidate(job, queue, kind, objective, now));
        }
      }
    }
    ShortagePlan plan =
        state.uses(Mechanism.DEFERRAL)
            ? ShortagePlan.of(
                candidates,
                new ShortagePlan.Capacity(left, state.arrivingWork.amounts(service, kind, now)))
            : ShortagePlan.NONE;
    candidates.stream()
        .filter(c -> plan.defers(c.id()) && jobs.get(c.id()).firstDeferral())
        .forEach(c -> log(c, plan, ratio(service, jobs.get(c.id()).spec().organisation())));
    return plan;
  }

  /**
   * Returns the amount of a service's resource that long-running tasks neither use nor wait for.
   */
  private double leftByLongRunning(String service, ResourceKind kind, double total) {
    double longRunning =
        state.jobs.values().stream()
            .filter(LiveJob::longRunning)
            .filter(j -> state.queue(j).service().equals(service))
            .flatMap(j -> j.steps().stream())
            .filter(s -> s.spec().longRunning())
            .mapToDouble(s -> s.unfinishedTasks() * kind.of(s.spec().committed()))
            .sum();
    return Math.max(total - longRunning, MIN_LEFT_SHARE * total);
  }

  private ShortagePlan.Candidate candidate(
      LiveJob job, Queue queue, ResourceKind kind, Objective objective, long now) {
    RemainingWork anew = RemainingWork.of(job, state.durations, kind);
    criticalPathMillis.put(job, Math.round(anew.criticalPathMillis()));
    double running = work(job, queue, kind, LiveStep::runningTasks);
    double all = work(job, queue, kind, s -> s.tasks().size());
    double left = Math.max(0, anew.work() - running);
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
        overuse(queue.service(), job.spec().organisation()));
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

  /** Returns the expected work of some tasks of each step of a job. */
  private double work(LiveJob job, Queue queue, ResourceKind kind, ToIntFunction<LiveStep> tasks) {
    return job.steps().stream()
        .mapToDouble(
            s ->
                tasks.applyAsInt(s)
                    * state.durations.expectedMillis(queue.name(), s.spec())
                    * kind.of(s.spec().committed()))
        .sum();
  }

  private void log(ShortagePlan.Candidate job, ShortagePlan plan, double useOverEntitlement) {
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
            + Math.round(100 * useOverEntitlement)
            + "% of its entitlement");
  }
}
