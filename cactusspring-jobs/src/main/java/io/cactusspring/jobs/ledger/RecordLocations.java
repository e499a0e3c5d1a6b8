package io.cactusspring.jobs.ledger;

/**
 * The partitions that hold records of one job, so that they can be deleted after the job's end.
 *
 * @since 0.2
 */
public final class RecordLocations {
  private int submissionLanes;
  private int progressLanes;
  private int newestProgressLane;
  private boolean inboxSubmission;
  private boolean inboxCancellation;

  /** Adds a lane that holds the job's submission. */
  public void submissionInLane(int lane) {
    submissionLanes |= 1 << lane;
  }

  /** Adds a lane that holds a progress record of the job. */
  public void progressInLane(int lane) {
    progressLanes |= 1 << lane;
  }

  /** Sets the lane that holds the job's newest progress record. */
  public void newestProgressInLane(int lane) {
    progressInLane(lane);
    newestProgressLane = lane;
  }

  /** Returns the lane that holds the job's newest progress record, if any lane holds one. */
  public int newestProgressLane() {
    return newestProgressLane;
  }

  /** Records whether the inbox holds the job's submission. */
  public void inboxSubmission(boolean value) {
    inboxSubmission = value;
  }

  /** Records whether the inbox holds a cancellation of the job. */
  public void inboxCancellation(boolean value) {
    inboxCancellation = value;
  }

  public boolean hasSubmissionInLane(int lane) {
    return (submissionLanes & 1 << lane) != 0;
  }

  public boolean hasProgressInLane(int lane) {
    return (progressLanes & 1 << lane) != 0;
  }

  public boolean hasInboxSubmission() {
    return inboxSubmission;
  }

  public boolean hasInboxCancellation() {
    return inboxCancellation;
  }

  /** Removes a lane that no longer holds the job's submission. */
  public void submissionDeleted(int lane) {
    submissionLanes &= ~(1 << lane);
  }

  /** Removes a lane that no longer holds a progress record of the job. */
  public void progressDeleted(int lane) {
    progressLanes &= ~(1 << lane);
  }

  /** Returns whether nothing but the newest progress record is stored. */
  public boolean isOnlyNewestProgress() {
    return submissionLanes == 0
        && progressLanes == 1 << newestProgressLane
        && !inboxSubmission
        && !inboxCancellation;
  }
}
