package io.cactusspring.daemon.work;

import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.core.state.RunState;
import io.cactusspring.core.state.RunView;
import io.cactusspring.daemon.control.ShardController;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Why runs wait, as far as this entry host places them.
 *
 * @since 0.1
 */
public final class WaitReasons {
  private final ShardController shards;

  public WaitReasons(ShardController shards) {
    this.shards = shards;
  }

  /**
   * Returns the reasons of the runs that wait, each with the number of its runs; empty if none
   * waits in a shard that this host owns. Called under the cell's lock.
   */
  Optional<String> of(List<RunView> runs) {
    Map<String, Long> counts =
        shards.owners().stream()
            .flatMap(o -> runs.stream().filter(r -> waits(r, o)).map(r -> of(o, r)))
            .collect(Collectors.groupingBy(r -> r, TreeMap::new, Collectors.counting()));
    if (counts.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        counts.entrySet().stream()
            .map(e -> e.getValue() + " runs: " + e.getKey())
            .collect(Collectors.joining("; ")));
  }

  private static boolean waits(RunView run, ShardOwner owner) {
    return run.state() == RunState.PENDING && run.home().equals(owner.shard());
  }

  /** Returns why one run of the owner's shard waits. */
  static String of(ShardOwner owner, RunView run) {
    return owner
        .placer()
        .whyWaiting(run.run())
        .map(w -> w.text())
        .orElse(owner.isHoldingRuns() ? "a worker not heard yet may run it" : "being started");
  }
}
