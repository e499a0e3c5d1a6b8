package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The scheduler's own state, order and placement on executors whose tasks end after a given time. A
 * start takes effect at once and an end is known at the next tick.
 */
final class SlotModel {
  static final Queue QUICK = new Queue("quick", "h", "/q/", "svc", 0, 3, 1.5, 250, null, false);
  static final Queue LONG = new Queue("long", "h", "/l/", "svc", 1, 3, 2, 1_000, null, false);
  static final Queue BATCH = new Queue("batch", "h", "/b/", "svc", 2, 3, 2.2, 1_200, null, false);
  static final int EXECUTOR_PROCESSORS = 16;

  private static final long TICK_MILLIS = 20;
  private static final Resources NO_LIMIT = new Resources(0, 0, 0);

  /** A submitted job and when it completed. */
  static final class Submission {
    final JobSpec spec;
    final double durationFactor;
    final double processorSeconds;
    final long criticalPathMillis;
    long completedAt = Long.MAX_VALUE;

    private Submission(JobSpec spec, double durationFactor) {
      this.spec = spec;
      this.durationFactor = durationFactor;
      double work = 0;
      double path = 0;
      for (StepSpec step : spec.steps()) {
        double millis = durationFactor * step.estimateMillis();
        path += millis;
        work += millis * step.tasks() * step.resources().milliProcessors() / 1e6;
      }
      processorSeconds = work;
      criticalPathMillis = Math.round(path);
    }

    boolean isDone() {
      return completedAt != Long.MAX_VALUE;
    }

    boolean isInTime() {
      Queue queue = spec.queue();
      return isDone()
          && completedAt - spec.acceptedMillis()
              <= queue.stretch() * criticalPathMillis + queue.targetLatencyMillis();
    }
  }

  /** One decision that was logged. */
  record Decision(DecisionListener.Kind kind, String job, String reason) {}

  private record End(long at, LiveExecutor executor, RunKey run) {}

  final List<Decision> decisions = new ArrayList<>();
  final OwnerState state;
  final Map<String, Submission> submissions = new LinkedHashMap<>();
  final Map<String, Long> firstStartAt = new HashMap<>();
  private final RunLifecycle runs;
  private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingLong(End::at));
  private final Placement placement;
  private final AdmissionPolicy admission;
  private long now = 100_000;

  private SlotModel(Set<Mechanism> disabled) {
    state =
        new OwnerState(
            SchedulerSettings.builder().disabled(disabled).build(),
            1,
            id -> Optional.empty(),
            (kind, job, subject, reason) -> decisions.add(new Decision(kind, job, reason)));
    runs = new RunLifecycle(state);
    StepOrder order = new StepOrder(state, new ShortageMonitor(state));
    placement = new Placement(state, runs, new AdvicePlanner(state), order);
    admission = new AdmissionPolicy(state);
  }

  /** Returns a model with the order under shortage. */
  static SlotModel newOrder() {
    return without();
  }

  /** Returns a model with the order that does not consider shortages. */
  static SlotModel oldOrder() {
    return without(Mechanism.SHORTAGE_ORDER);
  }

  /** Returns a model without some parts of the policy. */
  static SlotModel without(Mechanism... disabled) {
    return new SlotModel(Set.of(disabled));
  }

  /** Configures organisations with their agreed jobs a second. */
  SlotModel organisations(Map<String, Double> weights) {
    state.configure(
        new SiteConfiguration(
            1,
            List.of(QUICK, LONG, BATCH),
            List.of(),
            weights.entrySet().stream()
                .map(e -> new Organisation(e.getKey(), Set.of(), e.getValue(), NO_LIMIT))
                .toList()));
    return this;
  }

  SlotModel executors(int count) {
    return executors(count, new Resources(EXECUTOR_PROCESSORS * 1_000, 32_000, 0));
  }

  SlotModel executors(int count, Resources capacity) {
    for (int i = 0; i < count; i++) {
      String id = "x" + i;
      LiveExecutor executor = state.executor(id);
      executor.rebooted(7, now);
      executor.announced(
          new ExecutorInfo(id, id + ":80", "svc", "z", false, -1, capacity, Set.of(), 7), 0, now);
      executor.answered(now, now);
      executor.reported(false, now);
      state.gainedCapacity(executor);
    }
    state.executorsChanged();
    return this;
  }

  long now() {
    return now;
  }

  static StepSpec.Builder step(int tasks, int processors, long estimateMillis) {
    return StepSpec.builder()
        .tasks(tasks)
        .resources(new Resources(processors * 1_000L, processors * 100L, 0))
        .estimateMillis(estimateMillis);
  }

  /**
   * Submits a job now.
   *
   * @param durationFactor actual durations of its tasks relative to their estimates
   */
  Submission submit(
      String id, Queue queue, String organisation, double durationFactor, StepSpec... steps) {
    return accept(job(id, queue, organisation, steps), durationFactor);
  }

  /** Submits a job now, which is accepted only if it is admitted. */
  void offer(
      String id, Queue queue, String organisation, double durationFactor, StepSpec... steps) {
    JobSpec spec = job(id, queue, organisation, steps);
    if (admission.admit(spec, now) instanceof Admission.Admitted) {
      accept(spec, durationFactor);
      admission.accepted(spec, now);
    }
  }

  private JobSpec job(String id, Queue queue, String organisation, StepSpec... steps) {
    return new JobSpec(id, queue, organisation, "", List.of(steps), 0, 0, 0, now);
  }

  private Submission accept(JobSpec spec, double durationFactor) {
    LiveJob job = new LiveJob(JobEntry.submitted(spec), state.waitingSteps, now, now);
    state.addJob(job);
    job.markReady(now);
    Submission submission = new Submission(spec, durationFactor);
    submissions.put(spec.id(), submission);
    return submission;
  }

  /** Runs one tick: ends the tasks that are due, and places waiting ones. */
  void tick() {
    now += TICK_MILLIS;
    while (!ends.isEmpty() && ends.peek().at <= now) {
      End end = ends.remove();
      runs.ended(end.executor, end.executor.run(end.run), EndReason.DONE, "", now);
      String job = end.run.task().job();
      if (!state.jobs.containsKey(job)) {
        submissions.get(job).completedAt = now;
      }
    }
    placement.place(millis -> false, now);
    state.actions.stream()
        .flatMap(a -> a instanceof Action.Start start ? Stream.of(start) : Stream.empty())
        .forEach(this::start);
    state.actions.clear();
  }

  private void start(Action.Start start) {
    LiveExecutor executor = state.executors.get(start.executor());
    Run run = executor.run(start.run());
    run.startSent(0, 1, now);
    run.enter(Run.Phase.RUNNING, now);
    String job = start.run().task().job();
    firstStartAt.putIfAbsent(job, now);
    if (!run.spec().longRunning()) {
      double millis = run.spec().estimateMillis() * submissions.get(job).durationFactor;
      ends.add(new End(now + Math.round(millis), executor, start.run()));
    }
  }

  /** Cancels a job. */
  void cancel(String id) {
    runs.finish(state.jobs.get(id), JobState.CANCELLED, now);
  }

  /** Runs ticks for a time. */
  void run(long millis) {
    for (long end = now + millis; now < end; ) {
      tick();
    }
  }

  List<String> deferred() {
    return decisions.stream()
        .filter(d -> d.kind == DecisionListener.Kind.JOB_DEFERRED)
        .map(Decision::job)
        .toList();
  }
}
