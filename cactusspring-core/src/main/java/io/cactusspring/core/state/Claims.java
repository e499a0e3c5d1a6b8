package io.cactusspring.core.state;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.LogRecord.ShardClaimed;
import io.cactusspring.core.model.ShardId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The claims in force. A claim takes effect only if it names the epoch of the current claim. */
class Claims {
  private static final long NO_EPOCH = 0;

  private final TreeMap<ShardId, Claim> claims = new TreeMap<>();

  Map<ShardId, Claim> all() {
    return claims;
  }

  Optional<Claim> of(ShardId shard) {
    return Optional.ofNullable(claims.get(shard));
  }

  Optional<Claim> apply(long offset, ShardClaimed r, Configuration configuration) {
    if (!supersedesCurrent(r) || !configuration.shards().contains(r.shard())) {
      return Optional.empty();
    }
    Claim claim = new Claim(r.owner(), r.incarnation(), offset);
    claims.put(r.shard(), claim);
    return Optional.of(claim);
  }

  /**
   * Removes the claims on shards of zones that were withdrawn or changed their number of shards.
   */
  List<ShardId> removeResized(Configuration before, Configuration after) {
    List<ShardId> dropped =
        claims.keySet().stream()
            .filter(s -> before.shardsOf(s.zone().name()) != after.shardsOf(s.zone().name()))
            .toList();
    dropped.forEach(claims::remove);
    return dropped;
  }

  /** Returns whether an epoch is current; late records of a replaced owner carry an earlier one. */
  boolean isCurrentEpoch(ShardId shard, long epoch) {
    return claims.containsKey(shard) && claims.get(shard).epoch() == epoch;
  }

  boolean supersedesCurrent(ShardClaimed r) {
    return of(r.shard()).map(Claim::epoch).orElse(NO_EPOCH) == r.supersedes();
  }
}
