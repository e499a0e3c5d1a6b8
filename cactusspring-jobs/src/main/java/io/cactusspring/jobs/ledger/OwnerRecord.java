package io.cactusspring.jobs.ledger;

import java.util.Optional;

/**
 * A claim to the ownership of the executors, by one process of an entry host, or a later heartbeat
 * of that process.
 *
 * @param term term of the claim, which increases with each claim; the fencing token of the owner's
 *     commands to executors
 * @param host name of the entry host
 * @param incarnation id of the process on that host
 * @param address host and port at which other entry hosts reach the owner
 * @param heartbeat number of the heartbeat within the term; 0 for the claim
 * @param released whether the owner has released its ownership
 * @param leases which leases may be left when the owner has ended; empty if an earlier version
 *     wrote the record
 * @since 0.2
 */
public record OwnerRecord(
    long term,
    String host,
    String incarnation,
    String address,
    long heartbeat,
    boolean released,
    Optional<LeaseBounds> leases) {
  /** No owner: the state before the first claim. */
  public static final OwnerRecord NONE = new OwnerRecord(0, "", "", "", 0, true);

  /** Creates a record that says nothing of leases. */
  public OwnerRecord(
      long term,
      String host,
      String incarnation,
      String address,
      long heartbeat,
      boolean released) {
    this(term, host, incarnation, address, heartbeat, released, Optional.empty());
  }

  /** Returns the record with other bounds of the leases. */
  public OwnerRecord withLeases(LeaseBounds bounds) {
    return new OwnerRecord(
        term, host, incarnation, address, heartbeat, released, Optional.of(bounds));
  }

  /** Returns whether both records belong to the same claim. */
  public boolean isSameClaim(OwnerRecord other) {
    return term == other.term && incarnation.equals(other.incarnation);
  }

  /** Returns the record of the next heartbeat. */
  public OwnerRecord nextHeartbeat() {
    return new OwnerRecord(term, host, incarnation, address, heartbeat + 1, false, leases);
  }

  /** Returns the record that releases the ownership. */
  public OwnerRecord release() {
    return new OwnerRecord(term, host, incarnation, address, heartbeat + 1, true, leases);
  }
}
