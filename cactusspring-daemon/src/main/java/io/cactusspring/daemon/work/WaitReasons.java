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
 * Explains why runs are waiting. Only runs in shards owned by this entry host are covered.
 *
 * @since 0.1
 */
public final class WaitReasons {
  private final ShardController shards;

  public WaitReasons(ShardController shards) {
    this.shards = shards;
  }

  /**
   * Returns the reasons for which runs are waiting, each with the number of runs; empty if no run
   * is waiting in a shard owned by this host. Must be called with the cell's lock held.
   */
  Optional<String> of(List<RunView> runs) {
    Map<String, Long> counts =
        shards.owners().stream()
            .flatMap(o -> runs.stream().filter(r -> isPending(r, o)).map(r -> of(o, r)))
            .collect(Collectors.groupingBy(r -> r, TreeMap::new, Collectors.counting()));
    if (counts.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        counts.entrySet().stream()
            .map(e -> e.getValue() + " runs: " + e.getKey())
            .collect(Collectors.joining("; ")));
  }

  private static boolean isPending(RunView run, ShardOwner owner) {
    return run.state() == RunState.PENDING && run.home().equals(owner.shard());
  }

  /** Returns the reason for which a run of the owner's shard is waiting. */
  static String of(ShardOwner owner, RunView run) {
    return owner
        .placer()
        .waitReason(run.run())
        .map(w -> w.text())
        .orElse(
            owner.isHoldingRuns()
                ? "may be running on a worker that has not reported yet"
                : "being started");
  }
}
