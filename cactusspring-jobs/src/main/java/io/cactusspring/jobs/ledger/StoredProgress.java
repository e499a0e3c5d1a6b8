package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobState;
import java.util.List;
import org.apache.thrift.TException;

/**
 * What an owner has stored about a job, as every host reads it; the steps are read when an owner
 * takes over.
 *
 * @param term the owner's term
 * @param started whether a task was ever started
 * @param steps the steps that have begun, in their Thrift form
 */
record StoredProgress(long term, JobState state, boolean started, byte[] steps) {
  /** Returns all of it; without steps, and with a line in the log, if they cannot be read. */
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
