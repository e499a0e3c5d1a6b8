package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.placement.Decision;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.ReleaseReason;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Simulates a scheduler with given arrivals under a virtual clock. */
public final class VirtualCell {
  private static final long CHECKPOINT_MILLIS = 500;
  private static final long MAX_WAIT_MILLIS = 24L * 3_600_000;
  private static final int DIGITS = 3;
  private static final String ALL_CLASSES = "(all)";

  /**
   * Fraction of the simulated time before measuring begins, so that the cell has filled by then.
   */
  private static final double WARM_UP = 0.2;

  private final Site site;
  private final Policy policy;
  private final Scheduler scheduler;
  private final UsageMeter usage;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private final Map<RunId, Job> jobs = new HashMap<>();
  private final Map<String, Histogram> waiting = new TreeMap<>();
  private long nextSequence;
  private long measureFromMillis;
  private long nowMillis;
  private long decideNanos;
  private int preemptions;
  private int starts;

  /** Event at a point of virtual time; events with equal times are handled in order of creation. */
  private sealed interface Event {
    long atMillis();

    long sequence();
  }

  private record Arrive(long atMillis, long sequence, Arrival arrival) implements Event {}

  private record End(long atMillis, long sequence, TaskId task) implements Event {}

  private record Checkpointed(long atMillis, long sequence, TaskId task) implements Event {}

  /** A run and its remaining run time. */
  private static final class Job {
    final Arrival arrival;
    final PendingRun run;
    long remainingMillis;
    long startMillis;
    int attempt;

    Job(Arrival arrival, PendingRun run) {
      this.arrival = arrival;
      this.run = run;
      this.remainingMillis = arrival.runMillis();
    }

    boolean isCurrent(TaskId task) {
      return attempt == task.attempt();
    }
  }

  private VirtualCell(Site site, Policy policy) {
    this.site = site;
    this.policy = policy;
    this.scheduler = policy.newScheduler(site);
    this.usage = new UsageMeter(site);
  }

  /** Simulates arrivals drawn for a demand and returns the measurements. */
  public static CellResult run(Site site, Policy policy, Demand demand, long seed) {
    return new VirtualCell(site, policy).simulate(Arrivals.draw(site, demand, seed));
  }

  private CellResult simulate(List<Arrival> arrivals) {
    startServices();
    arrivals.forEach(a -> events.add(new Arrive(a.atMillis(), nextSequence++, a)));
    long lastArrival = arrivals.getLast().atMillis();
    measureFromMillis = (long) (lastArrival * WARM_UP);
    while (!events.isEmpty() && events.peek().atMillis() <= lastArrival) {
      step();
    }
    jobs.values().stream().filter(j -> j.attempt == 0).forEach(this::record);
    return new CellResult(
        site,
        policy,
        waiting,
        usage.packing(),
        usage.shareDistance(),
        preemptions,
        starts,
        decideNanos,
        nowMillis);
  }

  private void startServices() {
    TaskSpec spec = TaskSpec.builder(site.serviceSize()).build();
    List<String> teams = site.teamsByShare();
    for (int i = 0; i < site.serviceReplicas(); i++) {
      String team = teams.get(i % teams.size());
      scheduler.enqueue(
          new PendingRun(new RunId("service:standing", i), 1, team, spec, true, 1), 0);
    }
    for (Decision decision : scheduler.decide(0)) {
      places(decision).forEach(p -> usage.started(p.run().team(), site.serviceSize()));
    }
  }

  private static List<Decision.Place> places(Decision decision) {
    return switch (decision) {
      case Decision.Place p -> List.of(p);
      case Decision.PlaceGang g -> g.members();
      case Decision.Preempt p -> List.of();
      case Decision.Infeasible i ->
          throw new IllegalStateException(
              i + " was decided, but every run of the mix fits on an empty worker");
    };
  }

  private void step() {
    long at = events.peek().atMillis();
    usage.advance(at, nowMillis >= measureFromMillis, scheduler);
    nowMillis = at;
    while (!events.isEmpty() && events.peek().atMillis() == at) {
      handle(events.poll());
    }
    long before = System.nanoTime();
    List<Decision> decisions = scheduler.decide(nowMillis);
    decideNanos += System.nanoTime() - before;
    decisions.forEach(this::apply);
  }

  private void handle(Event event) {
    switch (event) {
      case Arrive e -> arrive(e.arrival());
      case End e -> end(e.task());
      case Checkpointed e -> checkpointed(e.task());
    }
  }

  private void arrive(Arrival arrival) {
    for (PendingRun run : arrival.runs()) {
      jobs.put(run.run(), new Job(arrival, run));
      scheduler.enqueue(run, nowMillis);
    }
  }

  private void end(TaskId task) {
    Job job = jobs.get(task.run());
    if (job == null || !job.isCurrent(task)) {
      return;
    }
    jobs.remove(task.run());
    usage.ended(job.run.team(), job.run.spec().resources());
    scheduler.release(task, ReleaseReason.SUCCEEDED, nowMillis);
  }

  private void checkpointed(TaskId task) {
    Job job = jobs.get(task.run());
    if (job == null || !job.isCurrent(task)) {
      return;
    }
    job.remainingMillis = Math.max(1, job.remainingMillis - (nowMillis - job.startMillis));
    usage.ended(job.run.team(), job.run.spec().resources());
    scheduler.release(task, ReleaseReason.CHECKPOINTED, nowMillis);
    PendingRun run = job.run;
    job.attempt++;
    scheduler.enqueue(
        new PendingRun(run.run(), job.attempt, run.team(), run.spec(), false, 1), nowMillis);
  }

  private void apply(Decision decision) {
    places(decision).forEach(this::start);
    if (decision instanceof Decision.Preempt preempt) {
      preempt(preempt.victim());
    }
  }

  private void preempt(TaskId victim) {
    preemptions++;
    events.add(new Checkpointed(nowMillis + CHECKPOINT_MILLIS, nextSequence++, victim));
  }

  private void start(Decision.Place place) {
    Job job = jobs.get(place.run().run());
    starts++;
    usage.started(job.run.team(), job.run.spec().resources());
    if (job.attempt == 0) {
      record(job);
    }
    job.attempt = place.run().attempt();
    job.startMillis = nowMillis;
    events.add(new End(nowMillis + job.remainingMillis, nextSequence++, place.run().task()));
  }

  /**
   * Records the time that a job waited for its first start, or until the end of the simulation if
   * it has not started.
   */
  private void record(Job job) {
    if (job.arrival.atMillis() < measureFromMillis) {
      return;
    }
    long millis = Math.min(MAX_WAIT_MILLIS, nowMillis - job.arrival.atMillis());
    histogram(job.arrival.workClass().name()).recordValue(millis);
    histogram(ALL_CLASSES).recordValue(millis);
  }

  private Histogram histogram(String workClass) {
    return waiting.computeIfAbsent(workClass, k -> new Histogram(MAX_WAIT_MILLIS, DIGITS));
  }
}
