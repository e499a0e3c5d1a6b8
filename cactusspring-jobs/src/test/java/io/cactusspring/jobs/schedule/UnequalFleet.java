package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/**
 * A scheduler and executors of unequal speed, in virtual time. Commands are answered at once, and
 * each executor reports an end when it happens.
 */
final class UnequalFleet {
  private static final Resources CAPACITY = new Resources(16_000, 32_000, 0);
  private static final long BOOT = 77;
  private static final long FAILURE_MILLIS = 5;
  private static final double SISTER_SIGMA = 0.15;

  private final Map<String, JobEntry> ledger = new LinkedHashMap<>();
  private final Map<String, Double> factors = new LinkedHashMap<>();
  private final Map<String, List<Active>> active = new LinkedHashMap<>();
  private final PriorityQueue<Active> ends =
      new PriorityQueue<>(Comparator.comparingLong(Active::endsAt));
  private final List<Action> actions = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final Random random = new Random(5);
  private final JobScheduler scheduler;
  private Function<TaskId, Double> workMillis = id -> 500.0;
  private Function<Action.Start, EndReason> endReason = start -> EndReason.DONE;
  private long lastEnd;
  private long now = 10_000;

  private record Active(Action.Start start, long startedAt, long endsAt) {
    ActiveRun listed(long now) {
      int percent = (int) ((now - startedAt) * 99 / Math.max(1, endsAt - startedAt));
      return new ActiveRun(start.run().task(), start.run().number(), "", percent, 0);
    }
  }

  UnequalFleet(Queue... queues) {
    scheduler =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            9,
            List.of(),
            id -> Optional.ofNullable(ledger.get(id)).flatMap(JobEntry::spec),
            (kind, job, subject, reason) ->
                log.add(now + " " + kind + " " + subject + " " + reason),
            now,
            now);
    scheduler.configure(new SiteConfiguration(1, List.of(queues), List.of(), List.of()));
  }

  JobScheduler scheduler() {
    return scheduler;
  }

  long now() {
    return now;
  }

  /** Returns the lines of a kind of decision. */
  List<String> log(DecisionListener.Kind kind) {
    return log.stream().filter(l -> l.contains(" " + kind + " ")).toList();
  }

  /** Sets the duration of each task on a normal executor. */
  void workMillis(Function<TaskId, Double> millis) {
    workMillis = millis;
  }

  /** Sets how each run ends. A run that does not end as done ends after a few milliseconds. */
  void endReason(Function<Action.Start, EndReason> reason) {
    endReason = reason;
  }

  void addExecutor(String id, String kind, double factor) {
    factors.put(id, factor);
    active.put(id, new ArrayList<>());
    scheduler.executorListed(
        new ExecutorInfo(
            id, id + ":80", "svc", "z", false, -1, CAPACITY, Set.of(kind, "all"), BOOT),
        now);
    report(id, List.of());
  }

  void submit(String id, Queue queue, StepSpec... steps) {
    ledger.put(
        id, JobEntry.submitted(new JobSpec(id, queue, "team", "p", List.of(steps), 0, 0, 0, now)));
    scheduler.submitted(ledger.get(id), now, now);
  }

  /** Starts what the scheduler decides; returns the starts. */
  List<Action.Start> start() {
    List<Action> decided = scheduler.decide(millis -> true, now, now);
    actions.addAll(decided);
    List<Action.Start> starts =
        decided.stream()
            .filter(Action.Start.class::isInstance)
            .map(Action.Start.class::cast)
            .toList();
    starts.forEach(this::begin);
    return starts;
  }

  /** Returns all actions so far. */
  List<Action> actions() {
    return actions;
  }

  private void begin(Action.Start start) {
    if (scheduler.startRequest(start.executor(), start.run(), now).isEmpty()) {
      return;
    }
    scheduler.startAnswered(start.executor(), start.run(), new CommandResult.Done(now), now);
    double noise = Math.exp(SISTER_SIGMA * random.nextGaussian());
    double millis =
        endReason.apply(start) == EndReason.DONE
            ? workMillis.apply(start.run().task()) * factors.get(start.executor()) * noise
            : FAILURE_MILLIS;
    Active run = new Active(start, now, now + Math.round(millis));
    ends.add(run);
    active.get(start.executor()).add(run);
  }

  /** Lets time pass until the next run ends, if any; returns whether one has ended. */
  boolean end() {
    Active next = ends.poll();
    if (next == null) {
      return false;
    }
    now = Math.max(now, next.endsAt());
    active.get(next.start().executor()).remove(next);
    EndedRun ended =
        new EndedRun(
            ++lastEnd,
            next.start().run().task(),
            next.start().run().number(),
            endReason.apply(next.start()),
            "");
    report(next.start().executor(), List.of(ended));
    return true;
  }

  private void report(String id, List<EndedRun> ended) {
    LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
    List<ActiveRun> running = active.get(id).stream().map(a -> a.listed(now)).toList();
    scheduler.leaseRenewalAnswered(
        id, request, now, new LeaseRenewalResult.Report(now, BOOT, running, ended), now);
  }

  /** Runs until nothing runs and nothing can start; returns all starts. */
  List<Action.Start> runToEnd() {
    List<Action.Start> starts = new ArrayList<>(start());
    while (end()) {
      starts.addAll(start());
    }
    return starts;
  }
}
