package io.cactusspring.core.budget;

import io.cactusspring.core.model.BudgetAccount;

/**
 * One account's part of a team's upper limit, and what is done with it.
 *
 * @param budget units that the account may use
 * @param running units in use
 * @param waiting units that work waits for
 * @since 0.1
 */
public record Holding(BudgetAccount account, int budget, int running, int waiting) {
  /** Units that work waits for and the budget does not cover. */
  public int lacking() {
    return Math.max(0, running + waiting - budget);
  }

  int unused() {
    return Math.max(0, budget - running - waiting);
  }
}
