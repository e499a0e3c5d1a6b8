package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobState;
import java.util.Comparator;
import java.util.List;
import org.apache.thrift.TException;

/**
 * A progress record whose steps are still encoded: a reader that needs only the state does not
 * decode them.
 *
 * @param steps progress of the steps that have begun, Thrift-encoded; empty for none
 * @see JobProgress
 */
record StoredProgress(
    long term,
    long version,
    JobState state,
    boolean started,
    byte[] steps,
    String queue,
    String organisation) {
  /** Orders the records of one job by their age, the oldest first. */
  static final Comparator<StoredProgress> OLDEST_FIRST =
      Comparator.comparingLong(StoredProgress::term).thenComparingLong(StoredProgress::version);

  /** Decodes the steps; if they cannot be decoded, logs a warning and returns no steps. */
  JobProgress decode(String job) {
    return new JobProgress(term, version, state, started, decodeSteps(job), queue, organisation);
  }

  private List<StepProgress> decodeSteps(String job) {
    if (steps.length == 0) {
      return List.of();
    }
    try {
      return ProgressRecordMapper.decodeSteps(steps);
    } catch (TException | RuntimeException e) {
      System.getLogger(StoredProgress.class.getName())
          .log(
              System.Logger.Level.WARNING,
              "steps of job {0} cannot be read: {1}",
              job,
              e.getMessage());
      return List.of();
    }
  }
}
