package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobState;
import java.util.List;
import org.apache.thrift.TException;

/**
 * A progress record whose steps are still encoded: every host reads the record, but only a new
 * owner needs the steps.
 *
 * @param term the owner's term
 * @param state the stored state
 * @param started whether any task of the job was ever started
 * @param steps progress of the steps that have begun, Thrift-encoded; empty for none
 */
record StoredProgress(long term, JobState state, boolean started, byte[] steps) {
  /** Decodes the steps; if they cannot be decoded, logs a warning and returns no steps. */
  JobProgress decode(String job) {
    if (steps.length == 0) {
      return new JobProgress(term, state, started, List.of());
    }
    try {
      return new JobProgress(term, state, started, ProgressRecordMapper.decodeSteps(steps));
    } catch (TException e) {
      System.getLogger(StoredProgress.class.getName())
          .log(
              System.Logger.Level.WARNING,
              "steps of job {0} cannot be read: {1}",
              job,
              e.getMessage());
      return new JobProgress(term, state, started, List.of());
    }
  }
}
