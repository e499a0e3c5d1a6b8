package io.cactusspring.core.shard;

/**
 * Operations that an owner is allowed to perform during one tick.
 *
 * @param mayStart whether its authority allows new work
 * @param mayRenew whether its authority allows renewals
 * @param logAvailable whether the platform's log answers; while it does not, idempotent runs start
 *     without a record
 * @since 0.1
 */
public record Permission(boolean mayStart, boolean mayRenew, boolean logAvailable) {}
