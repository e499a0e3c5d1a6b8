package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.WorkerInfo;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** A worker with its committed resources and the resources held there for claims. */
final class WorkerState {
  private final Map<TaskId, TaskState> tasks = new LinkedHashMap<>();
  private final WorkerHealth health;
  private WorkerInfo info;
  private boolean reachable = true;
  private Resources committed = Resources.NONE;
  private Resources held = Resources.NONE;
  private Resources used = Resources.NONE;
  private Resources available;

  WorkerState(WorkerInfo info, PlacementPolicy policy) {
    this.info = info;
    this.health = new WorkerHealth(policy);
    updateAvailable();
  }

  String name() {
    return info.name();
  }

  String rack() {
    return info.rack();
  }

  WorkerInfo info() {
    return info;
  }

  Resources total() {
    return info.total();
  }

  Resources committed() {
    return committed;
  }

  WorkerHealth health() {
    return health;
  }

  Collection<TaskState> tasks() {
    return tasks.values();
  }

  int taskCount() {
    return tasks.size();
  }

  /** Resources that are neither committed nor held. */
  Resources available() {
    return available;
  }

  /** Resources that are not committed, including held ones. */
  Resources free() {
    return remainder(total(), committed);
  }

  /** A worker whose total shrank below its committed resources takes no tasks until some end. */
  boolean takesWork() {
    return reachable && !info.leaving() && committed.fitsIn(total());
  }

  void setInfo(WorkerInfo value) {
    info = value;
    updateAvailable();
  }

  void setReachable(boolean value) {
    reachable = value;
  }

  void add(TaskState task) {
    tasks.put(task.id(), task);
    committed = committed.plus(task.resources());
    updateAvailable();
  }

  void remove(TaskState task) {
    tasks.remove(task.id());
    used = used.minus(task.usage());
    committed = committed.minus(task.resources());
    updateAvailable();
  }

  void observeUsage(TaskState task, Resources usage) {
    used = used.minus(task.usage()).plus(usage);
    task.setUsage(usage);
  }

  /** Whether the measured usage of the tasks exceeds their declared processors or memory. */
  boolean isOverused() {
    return used.milliProcessors() > committed.milliProcessors()
        || used.memoryMib() > committed.memoryMib();
  }

  boolean hasHolds() {
    return !held.equals(Resources.NONE);
  }

  void hold(Resources amount) {
    held = held.plus(amount);
    updateAvailable();
  }

  void releaseHold(Resources amount) {
    held = held.minus(amount);
    updateAvailable();
  }

  WorkerView view() {
    return new WorkerView(name(), rack(), total(), committed, tasks.size(), state());
  }

  private WorkerView.State state() {
    if (!reachable) {
      return WorkerView.State.UNREACHABLE;
    }
    if (info.leaving()) {
      return WorkerView.State.LEAVING;
    }
    return health.isQuarantined() ? WorkerView.State.QUARANTINED : WorkerView.State.READY;
  }

  private void updateAvailable() {
    available = remainder(remainder(total(), committed), held);
  }

  private static Resources remainder(Resources whole, Resources part) {
    return new Resources(
        Math.max(0, whole.milliProcessors() - part.milliProcessors()),
        Math.max(0, whole.memoryMib() - part.memoryMib()),
        Math.max(0, whole.accelerators() - part.accelerators()));
  }
}
