package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.protocol.gen.ledger.JobStateCode;

/**
 * Converts states of jobs to Thrift codes and back.
 *
 * @since 0.2
 */
public final class JobStateMapper {
  private JobStateMapper() {}

  public static JobStateCode toCode(JobState state) {
    return switch (state) {
      case PENDING -> JobStateCode.PENDING;
      case RUNNING -> JobStateCode.RUNNING;
      case COMPLETED -> JobStateCode.COMPLETED;
      case FAILED -> JobStateCode.FAILED;
      case CANCELLED -> JobStateCode.CANCELLED;
    };
  }

  public static JobState toState(JobStateCode code) {
    return switch (code) {
      case PENDING -> JobState.PENDING;
      case RUNNING -> JobState.RUNNING;
      case COMPLETED -> JobState.COMPLETED;
      case FAILED -> JobState.FAILED;
      case CANCELLED -> JobState.CANCELLED;
    };
  }
}
