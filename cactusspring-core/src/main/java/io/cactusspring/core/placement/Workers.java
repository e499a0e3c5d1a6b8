package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.WorkerInfo;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

/** The known workers, searchable by their available resources. */
final class Workers {
  private final PlacementPolicy policy;
  private final PlacementRules rules;
  private final Map<String, WorkerState> byName = new LinkedHashMap<>();
  private final List<WorkerState> roundRobin = new ArrayList<>();
  private final WorkerIndex index;
  private final Map<String, WorkerIndex> byRack = new LinkedHashMap<>();
  private final Map<Resources, Integer> countByTotal = new HashMap<>();
  private final PriorityQueue<QuarantineCheck> quarantineChecks =
      new PriorityQueue<>(Comparator.comparingLong(QuarantineCheck::dueMillis));
  private final Set<WorkerState> gainedCapacity = new LinkedHashSet<>();
  private Resources total = Resources.NONE;
  private Resources committed = Resources.NONE;
  private int roundRobinIndex;
  private int quarantinedCount;
  private boolean topologyChanged;

  /** Time at which the quarantine of a worker is checked, in milliseconds. */
  private record QuarantineCheck(long dueMillis, WorkerState worker) {}

  Workers(PlacementPolicy policy, PlacementRules rules) {
    this.policy = policy;
    this.rules = rules;
    this.index = newIndex();
  }

  private WorkerIndex newIndex() {
    return new WorkerIndex(rules, new FitScore(policy), FitScore.prefersFullest(policy));
  }

  void put(WorkerInfo info) {
    WorkerState worker = byName.get(info.name());
    if (worker == null) {
      worker = new WorkerState(info, policy);
      byName.put(info.name(), worker);
      roundRobin.add(worker);
    } else {
      subtractTotal(worker.total());
      rackIndex(worker.rack()).remove(worker.name());
      worker.setInfo(info);
    }
    countByTotal.merge(info.total(), 1, Integer::sum);
    total = total.plus(info.total());
    topologyChanged = true;
    reindex(worker);
    gainedCapacity.add(worker);
  }

  void remove(WorkerState worker) {
    byName.remove(worker.name());
    roundRobin.remove(worker);
    subtractTotal(worker.total());
    index.remove(worker.name());
    rackIndex(worker.rack()).remove(worker.name());
    gainedCapacity.remove(worker);
    if (worker.health().isQuarantined()) {
      quarantinedCount--;
    }
    topologyChanged = true;
  }

  private void subtractTotal(Resources amount) {
    countByTotal.computeIfPresent(amount, (k, count) -> count == 1 ? null : count - 1);
    total = total.minus(amount);
  }

  Optional<WorkerState> get(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  Collection<WorkerState> all() {
    return byName.values();
  }

  boolean isEmpty() {
    return byName.isEmpty();
  }

  Resources total() {
    return total;
  }

  /** Returns whether a worker was added, changed or removed since the last call, and resets it. */
  boolean takeTopologyChange() {
    boolean changed = topologyChanged;
    topologyChanged = false;
    return changed;
  }

  void setReachable(WorkerState worker, boolean reachable) {
    worker.setReachable(reachable);
    reindex(worker);
    gainedCapacity.add(worker);
  }

  void add(TaskState task) {
    WorkerState worker = task.worker();
    worker.add(task);
    worker.health().taskStarted(task.id());
    committed = committed.plus(task.resources());
    reindex(worker);
  }

  void remove(TaskState task) {
    WorkerState worker = task.worker();
    worker.remove(task);
    committed = committed.minus(task.resources());
    reindex(worker);
    gainedCapacity.add(worker);
  }

  Resources committed() {
    return committed;
  }

  void hold(WorkerState worker, Resources amount) {
    worker.hold(amount);
    reindex(worker);
  }

  void releaseHold(WorkerState worker, Resources amount) {
    worker.releaseHold(amount);
    reindex(worker);
    gainedCapacity.add(worker);
  }

  private void reindex(WorkerState worker) {
    WorkerIndex rack = rackIndex(worker.rack());
    if (takesWork(worker)) {
      index.put(worker);
      rack.put(worker);
      return;
    }
    index.remove(worker.name());
    rack.remove(worker.name());
  }

  boolean takesWork(WorkerState worker) {
    return rules.takesWork(worker);
  }

  private WorkerIndex rackIndex(String rack) {
    return byRack.computeIfAbsent(rack, k -> newIndex());
  }

  Optional<WorkerState> find(Resources need) {
    return index.find(need);
  }

  /** Returns a worker of the first rack that satisfies the condition and has capacity. */
  Optional<WorkerState> findInRack(Resources need, Predicate<String> condition) {
    return byRack.entrySet().stream()
        .filter(e -> condition.test(e.getKey()))
        .map(e -> e.getValue().find(need))
        .flatMap(Optional::stream)
        .findFirst();
  }

  /** Returns whether {@code count} tasks of one size fit on all workers if these are empty. */
  boolean fitsWhenEmpty(Resources need, int count) {
    long fitting = 0;
    for (Map.Entry<Resources, Integer> entry : countByTotal.entrySet()) {
      fitting += (long) entry.getValue() * timesIn(entry.getKey(), need);
    }
    return fitting >= count;
  }

  /** Returns how many times {@code part} fits in {@code whole}. */
  static int timesIn(Resources whole, Resources part) {
    long times = Integer.MAX_VALUE;
    times = Math.min(times, quotient(whole.milliProcessors(), part.milliProcessors()));
    times = Math.min(times, quotient(whole.memoryMib(), part.memoryMib()));
    return (int) Math.min(times, quotient(whole.accelerators(), part.accelerators()));
  }

  private static long quotient(long whole, long part) {
    return part == 0 ? Integer.MAX_VALUE : whole / part;
  }

  int size() {
    return byName.size();
  }

  /** Returns whether an amount fits on a worker that may have gained capacity. */
  boolean fitsGainedCapacity(Resources need) {
    for (WorkerState worker : gainedCapacity) {
      if (takesWork(worker) && need.fitsIn(worker.available())) {
        return true;
      }
    }
    return false;
  }

  /** Returns up to {@code count} workers in round-robin order, from where the last call ended. */
  List<WorkerState> nextRoundRobin(int count) {
    int take = Math.min(count, roundRobin.size());
    List<WorkerState> taken = new ArrayList<>(take);
    for (int i = 0; i < take; i++) {
      taken.add(roundRobin.get((roundRobinIndex + i) % roundRobin.size()));
    }
    roundRobinIndex = roundRobin.isEmpty() ? 0 : (roundRobinIndex + take) % roundRobin.size();
    return taken;
  }

  /** Workers that may have gained capacity since the set was last cleared. */
  Set<WorkerState> gainedCapacity() {
    return gainedCapacity;
  }

  void clearGainedCapacity() {
    gainedCapacity.clear();
  }

  void taskSucceeded(WorkerState worker) {
    if (worker.health().isQuarantined()) {
      quarantinedCount--;
    }
    worker.health().taskSucceeded();
    reindex(worker);
  }

  void taskFailed(TaskState task, boolean atStart, long nowMillis) {
    WorkerState worker = task.worker();
    if (!worker.health().taskFailed(task.id(), atStart)) {
      return;
    }
    boolean wasQuarantined = worker.health().isQuarantined();
    if (!wasQuarantined && quarantinedCount >= Math.max(1, byName.size() / 2)) {
      return;
    }
    quarantinedCount += wasQuarantined ? 0 : 1;
    quarantineChecks.add(new QuarantineCheck(worker.health().quarantine(nowMillis), worker));
    reindex(worker);
  }

  /** Handles a task whose end does not show whether its worker is healthy. */
  void taskEndedInconclusively(TaskState task, long nowMillis) {
    WorkerHealth health = task.worker().health();
    if (health.isProbe(task.id())) {
      quarantineChecks.add(new QuarantineCheck(health.scheduleProbe(nowMillis), task.worker()));
    }
  }

  void allowDueProbes(long nowMillis) {
    while (!quarantineChecks.isEmpty() && quarantineChecks.peek().dueMillis() <= nowMillis) {
      WorkerState worker = quarantineChecks.poll().worker();
      if (byName.get(worker.name()) != worker) {
        continue;
      }
      if (worker.health().isProbeRunning()) {
        taskSucceeded(worker);
      } else {
        worker.health().allowProbe();
        reindex(worker);
      }
      gainedCapacity.add(worker);
    }
  }

  /** Schedules the check at which a started probe that is still running counts as a success. */
  void scheduleProbeCheck(TaskState task, long nowMillis) {
    WorkerHealth health = task.worker().health();
    if (health.isProbe(task.id())) {
      quarantineChecks.add(new QuarantineCheck(nowMillis + health.backoffMillis(), task.worker()));
    }
  }
}
