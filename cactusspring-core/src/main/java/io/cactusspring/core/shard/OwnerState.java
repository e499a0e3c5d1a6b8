package io.cactusspring.core.shard;

import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.RunState;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** State shared by the components of a shard's owner. */
final class OwnerState {
  final ShardId shard;
  final OwnerSettings settings;
  final Placer placer;
  final ClusterState state;
  final RecordOutbox outbox;
  final OwnedRuns runs = new OwnedRuns();
  final Map<String, WorkerLink> links = new LinkedHashMap<>();

  /** Units per team that run, or may run, in this shard and are not committed in the placer. */
  final Map<String, Integer> uncommittedUnits = new HashMap<>();

  final RestartBackoff backoff = new RestartBackoff();
  final long holdUntilMillis;

  /** Whether runs are held until every worker has answered a sync. */
  boolean holdingRuns = true;

  OwnerState(
      ShardId shard,
      long epoch,
      OwnerSettings settings,
      Placer placer,
      ClusterState state,
      long nowMillis) {
    this.shard = shard;
    this.settings = settings;
    this.placer = placer;
    this.state = state;
    this.outbox = new RecordOutbox(shard, epoch);
    this.holdUntilMillis = nowMillis + settings.takeoverExpiryBoundMillis();
  }

  List<RunEntry> gang(String workload) {
    return runs.ofWorkload(workload);
  }

  boolean isEnded(RunId run) {
    return state.run(run).map(v -> v.state() == RunState.ENDED).orElse(true);
  }

  void addUncommittedUnits(String team, int units) {
    uncommittedUnits.merge(team, units, Integer::sum);
  }

  void confirm(RunEntry entry, long nowMillis) {
    runs.changePhase(entry, RunEntry.Phase.RUNNING);
    if (!entry.confirmed) {
      entry.confirmed = true;
      entry.confirmedAtMillis = nowMillis;
    }
  }

  void stop(RunEntry entry, RunEntry.StopReason reason) {
    entry.stop = reason;
    Optional.ofNullable(links.get(entry.worker)).ifPresent(l -> l.syncRequested = true);
  }

  /** Stops the other running members of a gang because one member has to start again. */
  void stopGangMembers(RunEntry entry) {
    gang(entry.run.workload()).stream()
        .filter(e -> e.onWorker() && !e.stopping())
        .forEach(e -> stop(e, RunEntry.StopReason.GANG_RESTART));
  }
}
