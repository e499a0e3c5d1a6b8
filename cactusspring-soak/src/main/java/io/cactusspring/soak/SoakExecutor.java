package io.cactusspring.soak;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import io.cactusspring.platform.standin.ExecutorServer;
import io.cactusspring.soak.Site.ExecutorShape;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** A stand-in executor with leases, fencing tokens, checkpoints and reboots, in real time. */
final class SoakExecutor implements ExecutorServer.Model {
  /** The longest lease; hosts grant shorter ones. */
  private static final long MAX_LEASE_MILLIS = 10_000;

  private static final long STOP_MILLIS = 100;
  private static final long LEASE_CHECK_MILLIS = 20;

  /** What the executor needs to know of the tasks. */
  interface Work {
    /** Returns the step of a task; null if the job is unknown. */
    StepSpec step(TaskId task);

    /** Returns the duration of a task on a normal executor. */
    long millis(TaskId task);

    boolean fails(TaskId task, int run);

    /** Returns the time from the start of a task until it crashes its executor, if it does. */
    OptionalLong crashMillis(TaskId task);

    /** Takes note that a host has acknowledged an end. */
    void acknowledged(EndedRun end);

    /** Takes note that an executor crashed because of a task. */
    void crashed(SoakExecutor executor);

    /** Returns whether a ticket permits a task on an executor; true if its queue needs none. */
    boolean permits(String ticket, TaskId task, String executor);
  }

  private final ExecutorShape shape;
  private final Timers timers;
  private final Recorder recorder;
  private final Work work;
  private final GangRuns gangs;
  private final Map<TaskId, SoakTask> running = new LinkedHashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();

  /** Ends before the lease lapsed; the platform never counts these as acknowledged. */
  private final Set<Long> endsBeforeLapse = new HashSet<>();

  private final Map<TaskId, Integer> highestEndedRun = new HashMap<>();
  private final List<Runnable> pendingReports = new ArrayList<>();
  private long bootedAt;
  private long bootMillis = System.currentTimeMillis();
  private long highestFencingToken;
  private long leaseEnd;
  private long lastEndNumber;
  private long lastListedEnd;
  private boolean up = true;
  private boolean draining;
  private int capacityPercent = 100;
  private int generation;

  SoakExecutor(ExecutorShape shape, Timers timers, Recorder recorder, Work work, GangRuns gangs) {
    this.shape = shape;
    this.timers = timers;
    this.recorder = recorder;
    this.work = work;
    this.gangs = gangs;
    bootedAt = timers.nowMillis();
    checkLeases();
  }

  @Override
  public String id() {
    return generation == 0 ? shape.id() : shape.id() + "-" + generation;
  }

  boolean isUp() {
    return up;
  }

  /** Changes the capacity that the executor announces. */
  void resize(int percent) {
    capacityPercent = percent;
  }

  /** Lets the next boot have an id of its own. */
  void replace() {
    generation++;
  }

  ExecutorInfo info(String address) {
    Resources all = shape.capacity();
    return new ExecutorInfo(
        id(),
        address,
        Site.SERVICE,
        shape.zone(),
        draining,
        -1,
        new Resources(
            all.milliProcessors() * capacityPercent / 100,
            all.memoryMib() * capacityPercent / 100,
            0),
        Set.of(shape.zone(), "speed-" + shape.durationFactor()),
        bootMillis);
  }

  /** Stops the executor: all state is lost, and calls get no answer until it boots. */
  void crash() {
    stop(true);
  }

  /** Stops the executor after a drain. */
  void shutDown() {
    stop(false);
  }

  private void stop(boolean crashed) {
    up = false;
    recorder.record(at -> new Observation.ExecutorLost(at, id(), crashed));
    running.values().forEach(t -> t.ended(false));
    running.clear();
    ended.clear();
    List<Runnable> reports = List.copyOf(pendingReports);
    pendingReports.clear();
    if (!crashed) {
      reports.forEach(Runnable::run);
    }
    endsBeforeLapse.clear();
    highestEndedRun.clear();
    highestFencingToken = 0;
    leaseEnd = 0;
    lastEndNumber = 0;
    lastListedEnd = 0;
  }

  void drain() {
    draining = true;
  }

  /** Starts the executor again, as a new boot, unless another fault has done so. */
  void boot() {
    if (up && !draining) {
      return;
    }
    draining = false;
    bootedAt = timers.nowMillis();
    bootMillis = System.currentTimeMillis();
    up = true;
  }

  private long uptimeMillis() {
    return timers.nowMillis() - bootedAt;
  }

  @Override
  public long clockMillis() {
    return uptimeMillis() * shape.clockPercent() / 100;
  }

  private void checkLeases() {
    checkLease();
    timers.after(LEASE_CHECK_MILLIS, this::checkLeases);
  }

  private void checkLease() {
    if (up && !running.isEmpty() && clockMillis() > leaseEnd) {
      List.copyOf(running.values()).forEach(t -> end(t, EndReason.LAPSED));
    }
  }

  @Override
  public CommandResult start(StartRequest request) {
    if (!up) {
      return new CommandResult.Unknown("executor is down");
    }
    checkLease();
    if (!admit(request.fencingToken())) {
      return new CommandResult.Refused(Refusal.FENCED);
    }
    if (request.leaseEndMillis() < clockMillis()) {
      return new CommandResult.Refused(Refusal.EXPIRED);
    }
    TaskId id = request.task();
    SoakTask existing = running.get(id);
    if (existing != null && existing.run == request.run()) {
      extendLease(request.leaseEndMillis());
      return done();
    }
    if (existing != null || request.run() <= highestEndedRun.getOrDefault(id, 0)) {
      extendLease(request.leaseEndMillis());
      return new CommandResult.Refused(Refusal.STALE_RUN);
    }
    if (!work.permits(request.ticket(), id, id())) {
      return new CommandResult.Refused(Refusal.TICKET);
    }
    recorder.record(
        at -> new Observation.Started(at, id(), id, request.run(), request.checkpoint()));
    StepSpec step = work.step(id);
    if (step == null) {
      return new CommandResult.Refused(Refusal.INVALID);
    }
    extendLease(request.leaseEndMillis());
    SoakTask task = step.gang() ? joinGang(request, step) : startAlone(request, step);
    running.put(id, task);
    work.crashMillis(id).ifPresent(millis -> timers.after(millis, () -> crashUnder(task)));
    return done();
  }

  private SoakTask startAlone(StartRequest request, StepSpec step) {
    TaskId id = request.task();
    long total = Math.max(1, Math.round(work.millis(id) * shape.durationFactor()));
    long saved = request.checkpoint().isEmpty() ? 0 : Long.parseLong(request.checkpoint());
    SoakTask task =
        new SoakTask(
            id,
            request.run(),
            step,
            new SoakTask.OwnProgress(this::uptimeMillis, uptimeMillis(), saved, total));
    if (work.crashMillis(id).isEmpty() && !step.longRunning()) {
      EndReason reason = work.fails(id, task.run) ? EndReason.FAILED : EndReason.DONE;
      timers.after(Math.max(1, total - saved), () -> end(task, reason));
    }
    return task;
  }

  private SoakTask joinGang(StartRequest request, StepSpec step) {
    GangRun gang = gangs.run(request.task(), request.run(), step, request.checkpoint());
    SoakTask task = new SoakTask(request.task(), request.run(), step, gang);
    gang.join(new GangRun.Member(task.id, shape.durationFactor(), reason -> end(task, reason)));
    return task;
  }

  private void crashUnder(SoakTask task) {
    if (!task.ended) {
      recorder.record(at -> new Observation.CrashCaused(at, task.id));
      crash();
      work.crashed(this);
    }
  }

  private boolean admit(long token) {
    if (token < highestFencingToken) {
      return false;
    }
    highestFencingToken = token;
    return true;
  }

  @Override
  public CommandResult stop(TaskId id, int run, long token) {
    if (!up) {
      return new CommandResult.Unknown("executor is down");
    }
    if (!admit(token)) {
      return new CommandResult.Refused(Refusal.FENCED);
    }
    highestEndedRun.merge(id, run, Math::max);
    SoakTask task = running.get(id);
    if (task != null && task.run == run) {
      timers.after(STOP_MILLIS, () -> end(task, EndReason.STOPPED));
    }
    return done();
  }

  @Override
  public CommandResult pace(TaskId id, int run, long token) {
    if (!up) {
      return new CommandResult.Unknown("executor is down");
    }
    return admit(token) ? done() : new CommandResult.Refused(Refusal.FENCED);
  }

  private CommandResult done() {
    return new CommandResult.Done(clockMillis());
  }

  private void end(SoakTask task, EndReason reason) {
    if (task.ended) {
      return;
    }
    task.ended(reason == EndReason.DONE);
    running.remove(task.id);
    highestEndedRun.merge(task.id, task.run, Math::max);
    ended.add(new EndedRun(++lastEndNumber, task.id, task.run, reason, task.checkpoint()));
    recorder.record(at -> new Observation.Ended(at, id(), task.id, task.run, reason));
    List<Runnable> reports = List.copyOf(pendingReports);
    pendingReports.clear();
    reports.forEach(Runnable::run);
  }

  @Override
  public Future<LeaseRenewalResult> renewLeases(LeaseRenewalRequest request) {
    if (!up) {
      return Future.succeededFuture(new LeaseRenewalResult.Unknown("executor is down"));
    }
    checkLease();
    if (!admit(request.fencingToken())) {
      return Future.succeededFuture(new LeaseRenewalResult.Refused(Refusal.FENCED));
    }
    extendLease(request.leaseEndMillis());
    ended.stream()
        .filter(e -> e.number() <= request.acknowledgedEnd() && e.number() > lastListedEnd)
        .forEach(
            e ->
                recorder.record(
                    at -> new Observation.UnreadEndDeleted(at, id(), e.task(), e.run())));
    ended.stream()
        .filter(e -> e.number() <= request.acknowledgedEnd())
        .filter(e -> !endsBeforeLapse.contains(e.number()))
        .forEach(this::acknowledged);
    ended.removeIf(e -> e.number() <= request.acknowledgedEnd());
    if (!ended.isEmpty() || request.waitMillis() <= 0) {
      return Future.succeededFuture(report());
    }
    Promise<LeaseRenewalResult> promise = Promise.promise();
    Runnable send = () -> promise.tryComplete(report());
    pendingReports.add(send);
    timers.after(
        request.waitMillis(),
        () -> {
          // A boot does not answer what an earlier one was asked.
          if (pendingReports.remove(send)) {
            send.run();
          }
        });
    return promise.future();
  }

  private void acknowledged(EndedRun end) {
    recorder.record(
        at -> new Observation.Acknowledged(at, id(), end.task(), end.run(), end.reason()));
    work.acknowledged(end);
  }

  private LeaseRenewalResult report() {
    if (!up) {
      return new LeaseRenewalResult.Unknown("executor is down");
    }
    List<ActiveRun> runs = running.values().stream().map(t -> t.active()).toList();
    ended.stream()
        .limit(ExecutorServer.MAX_LISTED_ENDS)
        .forEach(e -> lastListedEnd = Math.max(lastListedEnd, e.number()));
    return new LeaseRenewalResult.Report(clockMillis(), bootMillis, runs, List.copyOf(ended));
  }

  private void extendLease(long end) {
    if (clockMillis() > leaseEnd) {
      ended.forEach(e -> endsBeforeLapse.add(e.number()));
    }
    leaseEnd = Math.max(leaseEnd, Math.min(end, clockMillis() + MAX_LEASE_MILLIS));
  }
}
