package io.cactusspring.core.budget;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.ShardId;
import java.util.List;
import org.junit.jupiter.api.Test;

class BudgetMovePolicyTest {
  private static final BudgetAccount HOST = BudgetAccount.ofHost("za-1");
  private static final BudgetAccount SHARD = BudgetAccount.of(ShardId.parse("za/0"));
  private static final BudgetAccount OTHER = BudgetAccount.of(ShardId.parse("zb/0"));
  private static final BudgetMovePolicy LARGE = new BudgetMovePolicy(200, 9);
  private static final BudgetMovePolicy SMALL = new BudgetMovePolicy(10, 9);

  @Test
  void halfOfUnusedBudgetIsMoved() {
    assertThat(LARGE.moves(List.of(new AccountUsage(SHARD, 20, 4, 0)), demand(100)))
        .containsExactly(new BudgetMove(SHARD, OTHER, 8));
  }

  @Test
  void noMoreThanTheShortfallIsMoved() {
    assertThat(LARGE.moves(List.of(new AccountUsage(SHARD, 20, 4, 0)), demand(3)))
        .containsExactly(new BudgetMove(SHARD, OTHER, 3));
  }

  @Test
  void budgetMovesBetweenAccountsOfOneHost() {
    List<AccountUsage> own =
        List.of(new AccountUsage(SHARD, 2, 2, 5), new AccountUsage(HOST, 9, 0, 0));
    assertThat(LARGE.moves(own, List.of())).containsExactly(new BudgetMove(HOST, SHARD, 4));
  }

  @Test
  void entryHostKeepsItsLastUnitOfALargeLimit() {
    assertThat(LARGE.moves(List.of(new AccountUsage(HOST, 1, 0, 0)), demand(100))).isEmpty();
    assertThat(LARGE.moves(List.of(new AccountUsage(HOST, 2, 1, 0)), demand(100)))
        .containsExactly(new BudgetMove(HOST, OTHER, 1));
  }

  @Test
  void entryHostMovesItsLastUnitOfASmallLimit() {
    assertThat(SMALL.moves(List.of(new AccountUsage(HOST, 1, 0, 0)), demand(100)))
        .containsExactly(new BudgetMove(HOST, OTHER, 1));
  }

  private static List<Demand> demand(int units) {
    return List.of(new Demand(OTHER, units));
  }
}
