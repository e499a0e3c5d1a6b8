package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Resources;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The tasks of one worker and their leases. Only requests with a stale epoch are rejected: a task
 * that exceeds the worker's capacity is started and recorded as a violation. Thread-safe. The
 * caller passes the current time of a monotonic clock.
 */
final class TaskTable {
  private static final double MIN_USAGE_FRACTION = 0.3;
  private static final String FAILING_PAYLOAD = "fail";

  private final String incarnation;
  private final Resources total;
  private final long usageLagNanos;
  private final RunRegistry registry;
  private final RandomGenerator random;
  private final Map<String, Task> running = new LinkedHashMap<>();
  private final Map<String, TaskResult> ended = new LinkedHashMap<>();
  private final Set<String> startedIds = new HashSet<>();
  private final List<HistoryEvent> history = new ArrayList<>();
  private long highestEpoch;
  private int overcommits;
  private int doubleRuns;

  TaskTable(
      String incarnation,
      Resources total,
      long usageLagMillis,
      RunRegistry registry,
      RandomGenerator random) {
    this.incarnation = incarnation;
    this.total = total;
    this.usageLagNanos = TimeUnit.MILLISECONDS.toNanos(usageLagMillis);
    this.registry = registry;
    this.random = random;
  }

  /**
   * Starts a task unless a task with the same id was started before.
   *
   * @param receivedNanos the time at which the request was received, from which the lease runs
   * @return whether the task was started
   * @throws StaleEpochException if the epoch is lower than the highest seen
   */
  synchronized boolean start(StartBody body, long receivedNanos, long nowNanos)
      throws StaleEpochException {
    advance(nowNanos);
    checkEpoch(body.epoch());
    if (!startedIds.add(body.task())) {
      return false;
    }
    Task task = newTask(body, receivedNanos, nowNanos);
    running.put(task.id(), task);
    record(task.id(), HistoryEvent.Kind.START, null, nowNanos);
    countViolations(task);
    advance(nowNanos);
    return true;
  }

  /**
   * Applies the lists of a sync, renewals last, and returns the running and the ended tasks.
   *
   * @throws StaleEpochException if the epoch is lower than the highest seen
   */
  synchronized SyncAnswer sync(SyncBody body, long nowNanos) throws StaleEpochException {
    advance(nowNanos);
    checkEpoch(body.epoch());
    body.forget().forEach(ended::remove);
    body.stop().forEach(id -> end(id, TaskResult.STOPPED, nowNanos));
    body.checkpoint().forEach(id -> checkpoint(id, nowNanos));
    body.throttle().forEach(id -> running.computeIfPresent(id, (k, t) -> throttle(t, nowNanos)));
    long leaseEnd = nowNanos + TimeUnit.MILLISECONDS.toNanos(body.leaseMillis());
    body.renew().forEach(id -> running.computeIfPresent(id, (k, t) -> t.withLease(leaseEnd)));
    return syncAnswer(body, nowNanos);
  }

  /** Ends the tasks whose work is done or whose lease has lapsed at {@code nowNanos}. */
  synchronized void advance(long nowNanos) {
    List<Task> due =
        running.values().stream().filter(t -> t.isDone(nowNanos) || t.hasLapsed(nowNanos)).toList();
    due.forEach(task -> endDue(task, nowNanos));
  }

  synchronized Violations violations() {
    return new Violations(overcommits, doubleRuns);
  }

  synchronized List<HistoryEvent> history() {
    return List.copyOf(history);
  }

  private Task newTask(StartBody body, long receivedNanos, long nowNanos) {
    return new Task(
        body.task(),
        body.resources(),
        FAILING_PAYLOAD.equals(body.payload()),
        TimeUnit.MILLISECONDS.toNanos(body.expectedMillis()),
        MIN_USAGE_FRACTION + (1 - MIN_USAGE_FRACTION) * random.nextDouble(),
        nowNanos,
        registry.progressOf(body.task()),
        nowNanos,
        false,
        receivedNanos + TimeUnit.MILLISECONDS.toNanos(body.leaseMillis()));
  }

  private void countViolations(Task task) {
    Resources committed =
        running.values().stream().map(Task::resources).reduce(Resources.NONE, Resources::plus);
    if (committed.exceeds(total)) {
      overcommits++;
    }
    if (registry.recordStart(task.id())) {
      doubleRuns++;
    }
  }

  private void checkEpoch(long epoch) throws StaleEpochException {
    if (epoch < highestEpoch) {
      throw new StaleEpochException(epoch, highestEpoch);
    }
    highestEpoch = epoch;
  }

  /** Ends a due task at the earlier of its completion and the lapse of its lease. */
  private void endDue(Task task, long nowNanos) {
    boolean done = task.isDone(nowNanos);
    boolean lapsedFirst = !done || task.completionNanos() - task.leaseEndNanos() > 0;
    if (lapsedFirst) {
      end(task.id(), TaskResult.LAPSED, task.leaseEndNanos());
    } else {
      end(
          task.id(),
          task.fails() ? TaskResult.FAILED : TaskResult.SUCCEEDED,
          task.completionNanos());
    }
  }

  private void checkpoint(String id, long nowNanos) {
    Task task = running.get(id);
    if (task != null) {
      registry.saveProgress(id, task.progressAt(nowNanos));
      end(id, TaskResult.CHECKPOINTED, nowNanos);
    }
  }

  private static Task throttle(Task task, long nowNanos) {
    return task.throttled() ? task : task.withThrottle(nowNanos);
  }

  private void end(String id, TaskResult result, long atNanos) {
    if (running.remove(id) == null) {
      return;
    }
    registry.recordEnd(id);
    ended.put(id, result);
    record(id, HistoryEvent.Kind.END, result, atNanos);
  }

  private void record(String id, HistoryEvent.Kind kind, TaskResult result, long atNanos) {
    history.add(new HistoryEvent(id, kind, result, atNanos));
  }

  private SyncAnswer syncAnswer(SyncBody body, long nowNanos) {
    Set<String> renewed = Set.copyOf(body.renew());
    List<RunningTask> runningTasks =
        running.values().stream()
            .filter(t -> body.full() || !renewed.contains(t.id()))
            .map(t -> toRunningTask(t, nowNanos))
            .toList();
    List<EndedTask> endedTasks =
        ended.entrySet().stream().map(e -> new EndedTask(e.getKey(), e.getValue())).toList();
    List<String> missing = body.renew().stream().filter(id -> !running.containsKey(id)).toList();
    return new SyncAnswer(incarnation, runningTasks, endedTasks, missing);
  }

  private RunningTask toRunningTask(Task task, long nowNanos) {
    return new RunningTask(
        task.id(),
        task.resources(),
        task.remainingLeaseMillis(nowNanos),
        task.usageAt(nowNanos, usageLagNanos));
  }
}
