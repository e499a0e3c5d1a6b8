package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.port.KeyedTopic.Entry;
import java.util.Optional;

/**
 * In-memory view of the ownership partition: the newest claim and its heartbeats.
 *
 * <p>Records may be applied in any order and more than once; only the one with the highest offset
 * counts.
 *
 * @since 0.2
 */
public final class OwnershipView {
  private OwnerRecord owner = OwnerRecord.NONE;
  private long offset = -1;

  /**
   * Applies a record.
   *
   * @return whether the record is newer than all records before
   */
  public boolean apply(Entry entry) {
    if (entry.offset() <= offset) {
      return false;
    }
    Optional<OwnerRecord> read = LedgerCodec.ownerOf(entry);
    read.ifPresent(
        r -> {
          owner = r;
          offset = entry.offset();
        });
    return read.isPresent();
  }

  /** Returns the newest record; {@link OwnerRecord#NONE} before any was applied. */
  public OwnerRecord owner() {
    return owner;
  }
}
