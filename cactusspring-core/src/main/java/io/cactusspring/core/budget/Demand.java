package io.cactusspring.core.budget;

import io.cactusspring.core.model.BudgetAccount;

/**
 * Units of a team that an account lacks.
 *
 * @since 0.1
 */
public record Demand(BudgetAccount account, int units) {}
