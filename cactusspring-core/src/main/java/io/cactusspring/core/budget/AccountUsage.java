package io.cactusspring.core.budget;

import io.cactusspring.core.model.BudgetAccount;

/**
 * One account's part of a team's upper limit, and its use.
 *
 * @param budget units that the account may use
 * @param running units in use by running work
 * @param waiting units requested by waiting work
 * @since 0.1
 */
public record AccountUsage(BudgetAccount account, int budget, int running, int waiting) {
  /** Returns the units of running and waiting work that the budget does not cover. */
  public int shortfall() {
    return Math.max(0, running + waiting - budget);
  }

  int unused() {
    return Math.max(0, budget - running - waiting);
  }
}
