package io.cactusspring.jobs.ledger;

/**
 * Receives the changes that {@link JobLedger} applies.
 *
 * @since 0.2
 */
public interface LedgerListener {
  /** Called when the first submission of a job is applied. */
  void submitted(JobEntry job);

  /** Called when the first cancellation of a job is applied; its submission may be missing. */
  void cancelled(JobEntry job);

  /** Called when an owner record with new content is applied. */
  void ownerChanged(OwnerRecord owner);

  /**
   * Called when an owner or progress record is applied; only the owner of the term writes these.
   */
  void onOwnerRecord(long term);
}
