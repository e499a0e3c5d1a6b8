package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Optional;

/**
 * Holder of a part of each team's upper limit: a shard for tasks, an entry host for requests.
 * Written {@code shard:ZONE/INDEX} or {@code host:NAME}.
 *
 * @since 0.1
 */
public record BudgetAccount(@JsonValue String id) implements Comparable<BudgetAccount> {
  private static final String SHARD_PREFIX = "shard:";

  /**
   * @throws IllegalArgumentException if the id has another form
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public BudgetAccount {
    if (id == null || !(id.startsWith(SHARD_PREFIX) || id.startsWith("host:"))) {
      throw new IllegalArgumentException(
          "budget account is \"" + id + "\"; expected shard:ZONE/INDEX or host:NAME");
    }
  }

  public static BudgetAccount of(ShardId shard) {
    return new BudgetAccount(SHARD_PREFIX + shard);
  }

  public static BudgetAccount ofHost(String entryHost) {
    return new BudgetAccount("host:" + entryHost);
  }

  /** Returns the shard that holds the account; empty if an entry host does. */
  public Optional<ShardId> shard() {
    return id.startsWith(SHARD_PREFIX)
        ? Optional.of(ShardId.parse(id.substring(SHARD_PREFIX.length())))
        : Optional.empty();
  }

  @Override
  public int compareTo(BudgetAccount other) {
    return id.compareTo(other.id);
  }

  @Override
  public String toString() {
    return id;
  }
}
