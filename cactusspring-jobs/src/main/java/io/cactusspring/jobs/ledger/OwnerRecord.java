package io.cactusspring.jobs.ledger;

/**
 * A claim to the ownership of the executors, by one process of an entry host.
 *
 * @param term term of the claim, which increases with each claim; the fencing token of the owner's
 *     commands to executors
 * @param host name of the entry host
 * @param incarnation id of the process on that host
 * @param released whether the owner has released its ownership
 * @since 0.2
 */
public record OwnerRecord(long term, String host, String incarnation, boolean released) {}
