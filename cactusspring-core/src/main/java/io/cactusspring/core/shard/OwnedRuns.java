package io.cactusspring.core.shard;

import io.cactusspring.core.model.RunId;
import io.cactusspring.core.shard.RunEntry.Phase;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** The runs of a shard that have not ended, found by id, by workload and by phase. */
final class OwnedRuns {
  private final Map<RunId, RunEntry> byRun = new LinkedHashMap<>();
  private final Map<String, Set<RunEntry>> byWorkload = new HashMap<>();
  private final Map<Phase, Set<RunEntry>> byPhase = new EnumMap<>(Phase.class);

  OwnedRuns() {
    Stream.of(Phase.values()).forEach(p -> byPhase.put(p, new LinkedHashSet<>()));
  }

  void add(RunEntry entry) {
    byRun.put(entry.run, entry);
    byWorkload.computeIfAbsent(entry.run.workload(), w -> new LinkedHashSet<>()).add(entry);
    byPhase.get(entry.phase()).add(entry);
  }

  /** Removes a run if it is present. */
  void remove(RunId run) {
    RunEntry entry = byRun.remove(run);
    if (entry == null) {
      return;
    }
    byPhase.get(entry.phase()).remove(entry);
    Set<RunEntry> siblings = byWorkload.get(run.workload());
    siblings.remove(entry);
    if (siblings.isEmpty()) {
      byWorkload.remove(run.workload());
    }
  }

  /** Changes the phase of a run. */
  void changePhase(RunEntry entry, Phase phase) {
    boolean isOwned = byPhase.get(entry.phase()).remove(entry);
    entry.setPhase(phase);
    if (isOwned) {
      byPhase.get(phase).add(entry);
    }
  }

  /** Returns the entry of a run, or null. */
  RunEntry get(RunId run) {
    return byRun.get(run);
  }

  boolean contains(RunId run) {
    return byRun.containsKey(run);
  }

  /** Returns a snapshot of the runs in any of the phases. */
  List<RunEntry> inPhases(Phase... phases) {
    return Stream.of(phases).map(byPhase::get).flatMap(Collection::stream).toList();
  }

  /** Returns the runs whose tasks run, or may run, on a worker. */
  List<RunEntry> onWorkers() {
    return inPhases(Phase.STARTING, Phase.RUNNING);
  }

  List<RunEntry> ofWorkload(String workload) {
    return List.copyOf(byWorkload.getOrDefault(workload, Set.of()));
  }
}
