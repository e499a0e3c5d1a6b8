package io.cactusspring.core.shard;

/**
 * What an owner may do at one moment.
 *
 * @param mayStart whether its authority allows new work
 * @param mayRenew whether its authority allows renewals
 * @param logAvailable whether the platform's log answers; if not, idempotent runs start without a
 *     record
 * @since 0.1
 */
public record Permission(boolean mayStart, boolean mayRenew, boolean logAvailable) {}
