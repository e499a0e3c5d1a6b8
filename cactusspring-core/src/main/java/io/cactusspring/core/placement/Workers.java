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

/** The known workers, searchable by what is available on them. */
final class Workers {
  private final PlacementPolicy policy;
  private final PlacementRules rules;
  private final Map<String, WorkerState> byName = new LinkedHashMap<>();
  private final List<WorkerState> inTurn = new ArrayList<>();
  private final WorkerIndex index;
  private final Map<String, WorkerIndex> byRack = new LinkedHashMap<>();
  private final Map<Resources, Integer> totals = new HashMap<>();
  private final PriorityQueue<Probe> probes =
      new PriorityQueue<>(Comparator.comparingLong(Probe::dueMillis));
  private final Set<WorkerState> raised = new LinkedHashSet<>();
  private Resources total = Resources.NONE;
  private Resources committed = Resources.NONE;
  private int turn;
  private int quarantined;
  private boolean topologyChanged;

  /** A time at which the quarantine of a worker is looked at again. */
  private record Probe(long dueMillis, WorkerState worker) {}

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
      inTurn.add(worker);
    } else {
      forgetTotal(worker.total());
      rackIndex(worker.rack()).remove(worker.name());
      worker.setInfo(info);
    }
    totals.merge(info.total(), 1, Integer::sum);
    total = total.plus(info.total());
    topologyChanged = true;
    reindex(worker);
    raised.add(worker);
  }

  void remove(WorkerState worker) {
    byName.remove(worker.name());
    inTurn.remove(worker);
    forgetTotal(worker.total());
    index.remove(worker.name());
    rackIndex(worker.rack()).remove(worker.name());
    raised.remove(worker);
    if (worker.health().isQuarantined()) {
      quarantined--;
    }
    topologyChanged = true;
  }

  private void forgetTotal(Resources amount) {
    totals.computeIfPresent(amount, (k, count) -> count == 1 ? null : count - 1);
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

  /** Tells whether a worker was added, changed or removed since the last call. */
  boolean takeTopologyChange() {
    boolean changed = topologyChanged;
    topologyChanged = false;
    return changed;
  }

  void setReachable(WorkerState worker, boolean reachable) {
    worker.setReachable(reachable);
    reindex(worker);
    raised.add(worker);
  }

  void add(TaskState task) {
    WorkerState worker = task.worker();
    worker.add(task);
    worker.health().started(task.id());
    committed = committed.plus(task.resources());
    reindex(worker);
  }

  void remove(TaskState task) {
    WorkerState worker = task.worker();
    worker.remove(task);
    committed = committed.minus(task.resources());
    reindex(worker);
    raised.add(worker);
  }

  Resources committed() {
    return committed;
  }

  void hold(WorkerState worker, Resources amount) {
    worker.hold(amount);
    reindex(worker);
  }

  void unhold(WorkerState worker, Resources amount) {
    worker.unhold(amount);
    reindex(worker);
    raised.add(worker);
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

  /** Finds a fitting worker in the first of the racks that satisfy the condition. */
  Optional<WorkerState> findInRack(Resources need, Predicate<String> condition) {
    return byRack.entrySet().stream()
        .filter(e -> condition.test(e.getKey()))
        .map(e -> e.getValue().find(need))
        .flatMap(Optional::stream)
        .findFirst();
  }

  /** Tells whether as many tasks of one size fit on the workers when all are empty. */
  boolean fitsWhenEmpty(Resources need, int count) {
    long fitting = 0;
    for (Map.Entry<Resources, Integer> entry : totals.entrySet()) {
      fitting += (long) entry.getValue() * timesIn(entry.getKey(), need);
    }
    return fitting >= count;
  }

  /** Returns how often an amount fits in another. */
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

  /** Tells whether an amount fits on a worker that may have more available than before. */
  boolean fitsRaised(Resources need) {
    for (WorkerState worker : raised) {
      if (takesWork(worker) && need.fitsIn(worker.available())) {
        return true;
      }
    }
    return false;
  }

  /** Returns workers in turn, each call those after the last, up to all of them. */
  List<WorkerState> next(int count) {
    int take = Math.min(count, inTurn.size());
    List<WorkerState> taken = new ArrayList<>(take);
    for (int i = 0; i < take; i++) {
      taken.add(inTurn.get((turn + i) % inTurn.size()));
    }
    turn = inTurn.isEmpty() ? 0 : (turn + take) % inTurn.size();
    return taken;
  }

  /** Workers on which more may be available than when this was last cleared. */
  Set<WorkerState> raised() {
    return raised;
  }

  void clearRaised() {
    raised.clear();
  }

  void succeeded(WorkerState worker) {
    if (worker.health().isQuarantined()) {
      quarantined--;
    }
    worker.health().succeeded();
    reindex(worker);
  }

  void failed(TaskState task, boolean atStart, long nowMillis) {
    WorkerState worker = task.worker();
    if (!worker.health().failed(task.id(), atStart)) {
      return;
    }
    boolean again = worker.health().isQuarantined();
    if (!again && quarantined >= Math.max(1, byName.size() / 2)) {
      return;
    }
    quarantined += again ? 0 : 1;
    probes.add(new Probe(worker.health().quarantine(nowMillis), worker));
    reindex(worker);
  }

  /** A task ended without telling whether its worker works. */
  void endedOtherwise(TaskState task, long nowMillis) {
    WorkerHealth health = task.worker().health();
    if (health.isProbe(task.id())) {
      probes.add(new Probe(health.waitForProbe(nowMillis), task.worker()));
    }
  }

  void openDueProbes(long nowMillis) {
    while (!probes.isEmpty() && probes.peek().dueMillis() <= nowMillis) {
      WorkerState worker = probes.poll().worker();
      if (byName.get(worker.name()) != worker) {
        continue;
      }
      if (worker.health().probeSurvived()) {
        succeeded(worker);
      } else {
        worker.health().openProbe();
        reindex(worker);
      }
      raised.add(worker);
    }
  }

  /** Looks at a started probe again once it has run long enough to count as a success. */
  void watchProbe(TaskState task, long nowMillis) {
    WorkerHealth health = task.worker().health();
    if (health.isProbe(task.id())) {
      probes.add(new Probe(nowMillis + health.backoffMillis(), task.worker()));
    }
  }
}
