package io.cactusspring.jobs.world;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
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
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An executor: leases, fencing tokens, boots, and tasks that take the time that they are given. */
public final class FakeExecutor {
  private static final long MAX_LEASE_MILLIS = 6_000;
  private static final long STOP_MILLIS = 100;

  private static final class Task {
    private final TaskId id;
    private final int run;
    private final StepSpec spec;
    private final long startedAt;
    private final long savedMillis;
    private boolean over;

    Task(TaskId id, int run, StepSpec spec, long startedAt, long savedMillis) {
      this.id = id;
      this.run = run;
      this.spec = spec;
      this.startedAt = startedAt;
      this.savedMillis = savedMillis;
    }
  }

  private final String id;
  private final World world;
  private final Resources capacity;
  private final VirtualTime time;
  private final Map<TaskId, Task> running = new LinkedHashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();

  /** Ends before a lapse of the lease: the platform does not count these as noted, ever. */
  private final Set<Long> lapsedEnds = new HashSet<>();

  private final Map<TaskId, Integer> highestOver = new HashMap<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private long bootedAt;
  private long fence;
  private long leaseEnd;
  private long lastEnd;
  private boolean up = true;
  private boolean draining;
  private boolean stalls;
  private int slowness = 1;

  FakeExecutor(String id, World world, Resources capacity, VirtualTime time) {
    this.id = id;
    this.world = world;
    this.capacity = capacity;
    this.time = time;
    bootedAt = time.now();
    time.after(50, this::tick);
  }

  public String id() {
    return id;
  }

  public ExecutorInfo info() {
    return new ExecutorInfo(
        id, id + ":80", World.SERVICE, "zone", draining, -1, capacity, Set.of("a"), bootedAt);
  }

  public boolean isUp() {
    return up;
  }

  public Set<TaskId> tasks() {
    return Set.copyOf(running.keySet());
  }

  /** Lets everything stand still that starts from now on. */
  public void stall(boolean value) {
    stalls = value;
  }

  /** Lets everything take so many times as long that starts from now on. */
  public void slowness(int factor) {
    slowness = factor;
  }

  /** Loses everything; answers nothing until it boots. */
  public void crash() {
    up = false;
    running.values().forEach(t -> t.over = true);
    running.clear();
    ended.clear();
    lapsedEnds.clear();
    highestOver.clear();
    fence = 0;
    leaseEnd = 0;
    lastEnd = 0;
  }

  /** Announces that it leaves, and leaves after a while. */
  public void drain(long millis) {
    draining = true;
    world.announce(this);
    time.after(
        millis,
        () -> {
          crash();
          world.forget(this);
        });
  }

  public void boot() {
    draining = false;
    bootedAt = time.now();
    up = true;
  }

  private long clock() {
    return time.now() - bootedAt;
  }

  private void tick() {
    if (up && !running.isEmpty() && clock() > leaseEnd) {
      List.copyOf(running.values()).forEach(t -> end(t, EndReason.LAPSED));
    }
    time.after(50, this::tick);
  }

  Future<CommandResult> start(StartRequest order) {
    if (!up) {
      return Future.succeededFuture(new CommandResult.Unknown("down"));
    }
    if (order.fencingToken() < fence) {
      return refused(Refusal.FENCED);
    }
    fence = order.fencingToken();
    if (order.leaseEndMillis() < clock()) {
      return refused(Refusal.EXPIRED);
    }
    extendLease(order.leaseEndMillis());
    Task present = running.get(order.task());
    if (present != null && present.run == order.run()) {
      return done();
    }
    if (order.run() <= highestOver.getOrDefault(order.task(), 0) || present != null) {
      return refused(Refusal.STALE_RUN);
    }
    JobSpec job = world.oracle().started(this, order);
    StepSpec spec = job.steps().get(order.task().step());
    long saved = order.checkpoint().isEmpty() ? 0 : Long.parseLong(order.checkpoint());
    Task task = new Task(order.task(), order.run(), spec, time.now(), saved);
    running.put(task.id, task);
    world.oracle().checkCapacity(this, committed(), capacity);
    if (!stalls && !spec.longRunning()) {
      time.after(workMillis(task) - saved, () -> end(task, world.endOf(task.id, task.run)));
    }
    return done();
  }

  private long workMillis(Task task) {
    return world.workMillis(task.id) * slowness;
  }

  /** Returns the work that a task has done, as its checkpoint tells it. */
  private String checkpoint(Task task) {
    return task.spec.checkpoints()
        ? String.valueOf(task.savedMillis + time.now() - task.startedAt)
        : "";
  }

  private Resources committed() {
    return running.values().stream()
        .map(t -> t.spec.committed())
        .reduce(Resources.NONE, Resources::plus);
  }

  private void end(Task task, EndReason how) {
    if (task.over) {
      return;
    }
    task.over = true;
    running.remove(task.id);
    highestOver.merge(task.id, task.run, Math::max);
    ended.add(new EndedRun(++lastEnd, task.id, task.run, how, checkpoint(task)));
    world.oracle().ended(task.id, task.run, how);
    List<Runnable> readers = List.copyOf(waiting);
    waiting.clear();
    readers.forEach(Runnable::run);
  }

  Future<CommandResult> stop(TaskId id, int run, long token) {
    if (!up) {
      return Future.succeededFuture(new CommandResult.Unknown("down"));
    }
    if (token < fence) {
      return refused(Refusal.FENCED);
    }
    fence = token;
    highestOver.merge(id, run, Math::max);
    Task task = running.get(id);
    if (task != null && task.run == run) {
      time.after(STOP_MILLIS, () -> end(task, EndReason.STOPPED));
    }
    return done();
  }

  Future<LeaseRenewalResult> hold(LeaseRenewalRequest order) {
    if (!up) {
      return Future.succeededFuture(new LeaseRenewalResult.Unknown("down"));
    }
    if (order.fencingToken() < fence) {
      return Future.succeededFuture(new LeaseRenewalResult.Refused(Refusal.FENCED));
    }
    fence = order.fencingToken();
    extendLease(order.leaseEndMillis());
    ended.stream()
        .filter(e -> e.number() <= order.acknowledgedEnd() && !lapsedEnds.contains(e.number()))
        .forEach(e -> world.oracle().noted(e));
    ended.removeIf(e -> e.number() <= order.acknowledgedEnd());
    if (!ended.isEmpty() || order.waitMillis() == 0) {
      return Future.succeededFuture(report());
    }
    Promise<LeaseRenewalResult> promise = Promise.promise();
    Runnable answer = () -> promise.tryComplete(report());
    waiting.add(answer);
    time.after(order.waitMillis(), answer);
    return promise.future();
  }

  private LeaseRenewalResult report() {
    if (!up) {
      return new LeaseRenewalResult.Unknown("down");
    }
    List<ActiveRun> rows =
        running.values().stream()
            .map(t -> new ActiveRun(t.id, t.run, checkpoint(t), percent(t), 0))
            .toList();
    return new LeaseRenewalResult.Report(clock(), bootedAt, rows, List.copyOf(ended));
  }

  private int percent(Task task) {
    if (stalls) {
      return 0;
    }
    return (int)
        Math.min(99, (task.savedMillis + time.now() - task.startedAt) * 100 / workMillis(task));
  }

  private void extendLease(long end) {
    if (clock() > leaseEnd) {
      ended.forEach(e -> lapsedEnds.add(e.number()));
    }
    leaseEnd = Math.max(leaseEnd, Math.min(end, clock() + MAX_LEASE_MILLIS));
  }

  private Future<CommandResult> done() {
    return Future.succeededFuture(new CommandResult.Done(clock()));
  }

  private static Future<CommandResult> refused(Refusal why) {
    return Future.succeededFuture(new CommandResult.Refused(why));
  }
}
