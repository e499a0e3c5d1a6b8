package io.cactusspring.core.budget;

import io.cactusspring.core.model.BudgetAccount;

/**
 * Units of a team that one account gives to another.
 *
 * @since 0.1
 */
public record Gift(BudgetAccount from, BudgetAccount to, int units) {}
