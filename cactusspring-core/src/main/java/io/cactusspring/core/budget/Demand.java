package io.cactusspring.core.budget;

import io.cactusspring.core.model.BudgetAccount;

/**
 * Number of a team's units that an account needs in addition to its budget.
 *
 * @since 0.1
 */
public record Demand(BudgetAccount account, int units) {}
