package io.cactusspring.core.budget;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.ShardId;
import java.util.List;
import org.junit.jupiter.api.Test;

class GivingPolicyTest {
  private static final BudgetAccount HOST = BudgetAccount.ofHost("za-1");
  private static final BudgetAccount SHARD = BudgetAccount.of(ShardId.parse("za/0"));
  private static final BudgetAccount OTHER = BudgetAccount.of(ShardId.parse("zb/0"));
  private static final GivingPolicy LARGE = new GivingPolicy(200, 9);
  private static final GivingPolicy SMALL = new GivingPolicy(10, 9);

  @Test
  void halfOfUnusedBudgetIsMoved() {
    assertThat(LARGE.gifts(List.of(new Holding(SHARD, 20, 4, 0)), demand(100)))
        .containsExactly(new Gift(SHARD, OTHER, 8));
  }

  @Test
  void noMoreThanTheShortfallIsMoved() {
    assertThat(LARGE.gifts(List.of(new Holding(SHARD, 20, 4, 0)), demand(3)))
        .containsExactly(new Gift(SHARD, OTHER, 3));
  }

  @Test
  void budgetMovesBetweenAccountsOfOneHost() {
    List<Holding> own = List.of(new Holding(SHARD, 2, 2, 5), new Holding(HOST, 9, 0, 0));
    assertThat(LARGE.gifts(own, List.of())).containsExactly(new Gift(HOST, SHARD, 4));
  }

  @Test
  void entryHostKeepsItsLastUnitOfALargeLimit() {
    assertThat(LARGE.gifts(List.of(new Holding(HOST, 1, 0, 0)), demand(100))).isEmpty();
    assertThat(LARGE.gifts(List.of(new Holding(HOST, 2, 1, 0)), demand(100)))
        .containsExactly(new Gift(HOST, OTHER, 1));
  }

  @Test
  void entryHostMovesItsLastUnitOfASmallLimit() {
    assertThat(SMALL.gifts(List.of(new Holding(HOST, 1, 0, 0)), demand(100)))
        .containsExactly(new Gift(HOST, OTHER, 1));
  }

  private static List<Demand> demand(int units) {
    return List.of(new Demand(OTHER, units));
  }
}
