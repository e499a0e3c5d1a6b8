package io.cactusspring.jobs.model;

/**
 * Identifies one step of one occurrence of a job.
 *
 * @param job id of the job
 * @param occurrence index of the repetition of a scheduled job, from 0; 0 for all other jobs
 * @param step index of the step within the job
 * @since 0.2
 */
public record StepId(String job, int occurrence, int step) {
  /** Returns the form {@code job.occurrence.step}. */
  @Override
  public String toString() {
    return job + "." + occurrence + "." + step;
  }
}
