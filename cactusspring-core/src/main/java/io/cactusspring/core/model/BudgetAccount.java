package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Holder of a part of each team's upper limit: a shard for tasks, an entry host for requests.
 * Written {@code shard:ZONE/INDEX} or {@code host:NAME}.
 *
 * @since 0.1
 */
public record BudgetAccount(@JsonValue String id) implements Comparable<BudgetAccount> {
  /**
   * @throws IllegalArgumentException if the id has another form
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public BudgetAccount {
    if (id == null || !(id.startsWith("shard:") || id.startsWith("host:"))) {
      throw new IllegalArgumentException(
          "budget account is \"" + id + "\"; expected shard:ZONE/INDEX or host:NAME");
    }
  }

  public static BudgetAccount of(ShardId shard) {
    return new BudgetAccount("shard:" + shard);
  }

  public static BudgetAccount ofHost(String entryHost) {
    return new BudgetAccount("host:" + entryHost);
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
