package io.cactusspring.core.placement;

import io.cactusspring.core.model.RunId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Queued runs; collects the members of a gang until all of them are queued. */
final class WaitingRuns {
  private final Map<RunId, Waiting> byRun = new HashMap<>();
  private final Map<String, Map<RunId, Waiting>> incompleteGangs = new HashMap<>();
  private long nextSequence;

  /** A run and its unit; the unit is absent while members of the gang are missing. */
  private record Waiting(PendingRun run, long waitingSinceMillis, Optional<WaitingUnit> unit) {
    Waiting withUnit(WaitingUnit joined) {
      return new Waiting(run, waitingSinceMillis, Optional.of(joined));
    }

    Waiting withoutUnit() {
      return new Waiting(run, waitingSinceMillis, Optional.empty());
    }
  }

  /**
   * Adds a run; returns its unit if the run completes one.
   *
   * @throws IllegalStateException if the run is already queued
   */
  Optional<WaitingUnit> add(PendingRun run, long nowMillis) {
    if (byRun.containsKey(run.run())) {
      throw new IllegalStateException("run " + run.run() + " is already queued");
    }
    Waiting waiting = new Waiting(run, nowMillis, Optional.empty());
    byRun.put(run.run(), waiting);
    if (!run.inGang()) {
      return Optional.of(createUnit(List.of(run), nowMillis));
    }
    Map<RunId, Waiting> members =
        incompleteGangs.computeIfAbsent(run.run().workload(), k -> new LinkedHashMap<>());
    members.put(run.run(), waiting);
    if (members.size() < run.gangSize()) {
      return Optional.empty();
    }
    incompleteGangs.remove(run.run().workload());
    return Optional.of(createUnit(members.values().stream().map(Waiting::run).toList(), nowMillis));
  }

  private WaitingUnit createUnit(List<PendingRun> members, long nowMillis) {
    WaitingUnit unit = new WaitingUnit(nextSequence++, nowMillis, members);
    members.forEach(m -> byRun.computeIfPresent(m.run(), (k, waiting) -> waiting.withUnit(unit)));
    return unit;
  }

  /**
   * Removes a queued run; empty if it is not queued. The unit of the run is passed to the consumer,
   * and the other members of its gang wait for a replacement.
   */
  Optional<PendingRun> remove(RunId run, Consumer<WaitingUnit> onUnitRemoved) {
    Waiting waiting = byRun.get(run);
    if (waiting == null) {
      return Optional.empty();
    }
    waiting.unit().ifPresent(onUnitRemoved);
    waiting.unit().ifPresent(this::split);
    byRun.remove(run);
    removeFromIncomplete(run);
    return Optional.of(waiting.run());
  }

  private void split(WaitingUnit unit) {
    if (!unit.first().inGang()) {
      return;
    }
    Map<RunId, Waiting> members = new LinkedHashMap<>();
    for (PendingRun member : unit.members()) {
      members.put(member.run(), byRun.computeIfPresent(member.run(), (k, w) -> w.withoutUnit()));
    }
    incompleteGangs.put(unit.first().run().workload(), members);
  }

  private void removeFromIncomplete(RunId run) {
    incompleteGangs.computeIfPresent(
        run.workload(),
        (k, members) -> {
          members.remove(run);
          return members.isEmpty() ? null : members;
        });
  }

  /** Removes all members of a unit that was placed or rejected. */
  void removeUnit(WaitingUnit unit) {
    unit.members().forEach(m -> byRun.remove(m.run()));
  }

  boolean contains(RunId run) {
    return byRun.containsKey(run);
  }

  /** Returns the unit of a run; empty if it is not queued or members of its gang are missing. */
  Optional<WaitingUnit> unitOf(RunId run) {
    return Optional.ofNullable(byRun.get(run)).flatMap(Waiting::unit);
  }

  int size() {
    return byRun.size();
  }
}
