package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;

/** A committed task, its start time and its last reported usage. */
final class TaskState {
  static final long UNKNOWN_START = -1;

  private final CommittedTask committed;
  private final WorkerState worker;
  private final String rack;
  private final long startMillis;
  private final boolean preemptible;
  private boolean victim;
  private Resources usage = Resources.NONE;

  TaskState(CommittedTask committed, WorkerState worker, long startMillis, boolean preemptible) {
    this.committed = committed;
    this.worker = worker;
    this.rack = worker.rack();
    this.startMillis = startMillis;
    this.preemptible = preemptible;
  }

  CommittedTask committed() {
    return committed;
  }

  TaskId id() {
    return committed.task();
  }

  Resources resources() {
    return committed.spec().resources();
  }

  WorkerState worker() {
    return worker;
  }

  /** Rack of the worker at the time when the task was committed. */
  String rack() {
    return rack;
  }

  /**
   * Time of the decision that placed the task, in milliseconds, or {@link #UNKNOWN_START} for a
   * recovered task.
   */
  long startMillis() {
    return startMillis;
  }

  boolean isPreemptible() {
    return preemptible;
  }

  boolean mayBeVictim() {
    return preemptible && !victim;
  }

  boolean isVictim() {
    return victim;
  }

  void markVictim() {
    victim = true;
  }

  Resources usage() {
    return usage;
  }

  void setUsage(Resources value) {
    usage = value;
  }
}
