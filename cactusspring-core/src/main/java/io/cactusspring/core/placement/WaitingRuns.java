package io.cactusspring.core.placement;

import io.cactusspring.core.model.RunId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Runs that wait; gathers the members of a gang until it is whole. */
final class WaitingRuns {
  private final Map<RunId, Waiting> byRun = new HashMap<>();
  private final Map<String, Map<RunId, Waiting>> partialGangs = new HashMap<>();
  private long nextSequence;

  /** A run and the unit that it waits in; none while its gang lacks members. */
  private record Waiting(PendingRun run, long sinceMillis, Optional<WaitingUnit> unit) {
    Waiting in(WaitingUnit whole) {
      return new Waiting(run, sinceMillis, Optional.of(whole));
    }

    Waiting alone() {
      return new Waiting(run, sinceMillis, Optional.empty());
    }
  }

  /** Adds a run; returns the unit that is whole now, if any. */
  Optional<WaitingUnit> add(PendingRun run, long nowMillis) {
    if (byRun.containsKey(run.run())) {
      throw new IllegalStateException("run " + run.run() + " waits already");
    }
    Waiting waiting = new Waiting(run, nowMillis, Optional.empty());
    byRun.put(run.run(), waiting);
    if (!run.inGang()) {
      return Optional.of(join(List.of(run), nowMillis));
    }
    Map<RunId, Waiting> members =
        partialGangs.computeIfAbsent(run.run().workload(), k -> new LinkedHashMap<>());
    members.put(run.run(), waiting);
    if (members.size() < run.gangSize()) {
      return Optional.empty();
    }
    partialGangs.remove(run.run().workload());
    return Optional.of(join(members.values().stream().map(Waiting::run).toList(), nowMillis));
  }

  private WaitingUnit join(List<PendingRun> members, long nowMillis) {
    WaitingUnit unit = new WaitingUnit(nextSequence++, nowMillis, members);
    members.forEach(m -> byRun.computeIfPresent(m.run(), (k, waiting) -> waiting.in(unit)));
    return unit;
  }

  /** Removes a run that waits; a gang that loses a member is no longer whole and is handed over. */
  Optional<PendingRun> remove(RunId run, Consumer<WaitingUnit> brokenUnit) {
    Waiting waiting = byRun.get(run);
    if (waiting == null) {
      return Optional.empty();
    }
    waiting.unit().ifPresent(brokenUnit);
    waiting.unit().ifPresent(this::split);
    byRun.remove(run);
    removeFromPartial(run);
    return Optional.of(waiting.run());
  }

  private void split(WaitingUnit unit) {
    if (!unit.first().inGang()) {
      return;
    }
    Map<RunId, Waiting> members = new LinkedHashMap<>();
    for (PendingRun member : unit.members()) {
      members.put(member.run(), byRun.computeIfPresent(member.run(), (k, w) -> w.alone()));
    }
    partialGangs.put(unit.first().run().workload(), members);
  }

  private void removeFromPartial(RunId run) {
    partialGangs.computeIfPresent(
        run.workload(),
        (k, members) -> {
          members.remove(run);
          return members.isEmpty() ? null : members;
        });
  }

  /** Forgets all members of a unit that waits no longer. */
  void finish(WaitingUnit unit) {
    unit.members().forEach(m -> byRun.remove(m.run()));
  }

  boolean contains(RunId run) {
    return byRun.containsKey(run);
  }

  /** Returns the unit that a run waits in; none when it doesn't wait or its gang lacks members. */
  Optional<WaitingUnit> unitOf(RunId run) {
    return Optional.ofNullable(byRun.get(run)).flatMap(Waiting::unit);
  }

  int size() {
    return byRun.size();
  }
}
