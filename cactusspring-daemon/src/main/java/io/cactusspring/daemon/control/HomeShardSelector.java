package io.cactusspring.daemon.control;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.protocol.gen.ShardLoad;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Selects the home shard of a submission among the shards whose workers can hold it. Shards with a
 * known load come first, then those with the most free capacity; a shard of this zone wins a tie.
 *
 * @since 0.1
 */
public final class HomeShardSelector {
  private final Cell cell;
  private final HostListController hosts;
  private final ShardController shards;
  private final PeerLoads peerLoads;
  private final AvailabilityZone zone;
  private final MonotonicClock clock;

  /**
   * Shard that could become the home of a submission.
   *
   * @param tasksThatFit tasks of the submission that fit into its free capacity, less waiting runs
   * @param owned whether the load of the shard is known, from this host or a peer
   * @param sameZone whether the shard is in the zone of this host
   */
  private record Candidate(ShardId shard, long tasksThatFit, boolean owned, boolean sameZone) {}

  public HomeShardSelector(
      Cell cell,
      HostListController hosts,
      ShardController shards,
      PeerLoads peerLoads,
      AvailabilityZone zone,
      MonotonicClock clock) {
    this.cell = cell;
    this.hosts = hosts;
    this.shards = shards;
    this.peerLoads = peerLoads;
    this.zone = zone;
    this.clock = clock;
  }

  /**
   * Returns the home shard, or empty if the submission does not fit the known workers of any shard.
   */
  public Optional<ShardId> select(Submission submission) {
    Map<ShardId, ShardLoad> loads = loads();
    return cell.configuration().shards().stream()
        .filter(s -> canEverFit(s, submission))
        .map(s -> candidate(s, submission, loads))
        .max(
            Comparator.comparing(Candidate::owned)
                .thenComparingLong(Candidate::tasksThatFit)
                .thenComparing(Candidate::sameZone)
                .thenComparing(Candidate::shard))
        .map(Candidate::shard);
  }

  /** Returns the loads of the shards owned by this host and of those that peers reported. */
  public Map<ShardId, ShardLoad> loads() {
    Map<ShardId, ShardLoad> loads = new TreeMap<>();
    cell.configuration()
        .shards()
        .forEach(
            s -> peerLoads.shard(s.toString(), clock.millis()).ifPresent(l -> loads.put(s, l)));
    return cell.locked(
        () -> {
          shards.owners().forEach(o -> loads.put(o.shard(), ShardLoads.of(o)));
          return loads;
        });
  }

  private boolean canEverFit(ShardId shard, Submission submission) {
    List<WorkerInfo> workers = hosts.workers(shard, shardCount(shard));
    Resources task = submission.task().resources();
    if (!submission.gang()) {
      return workers.stream().anyMatch(w -> task.fitsIn(w.total()));
    }
    long capacity = workers.stream().mapToLong(w -> ShardLoads.tasksThatFit(task, w.total())).sum();
    return capacity >= submission.tasks();
  }

  private int shardCount(ShardId shard) {
    return cell.configuration().zones().stream()
        .filter(z -> z.name().equals(shard.zone().name()))
        .mapToInt(ConfigItem.Zone::shards)
        .findFirst()
        .orElse(1);
  }

  private Candidate candidate(ShardId shard, Submission submission, Map<ShardId, ShardLoad> loads) {
    ShardLoad load = loads.get(shard);
    boolean sameZone = shard.zone().equals(zone);
    if (load == null) {
      return new Candidate(shard, 0, false, sameZone);
    }
    Resources free =
        new Resources(
            load.getFreeMilliProcessors(), load.getFreeMemoryMib(), load.getFreeAccelerators());
    long fits =
        ShardLoads.tasksThatFit(submission.task().resources(), free) - load.getWaitingRuns();
    return new Candidate(shard, Math.min(fits, submission.tasks()), true, sameZone);
  }
}
