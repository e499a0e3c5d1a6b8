package io.cactusspring.core.budget;

import io.cactusspring.core.model.BudgetAccount;

/**
 * Number of a team's units to move from one account to another.
 *
 * @since 0.1
 */
public record BudgetMove(BudgetAccount from, BudgetAccount to, int units) {}
