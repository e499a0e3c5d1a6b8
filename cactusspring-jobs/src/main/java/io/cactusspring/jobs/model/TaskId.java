package io.cactusspring.jobs.model;

/**
 * Identifies one task of a job.
 *
 * @param job id of the job
 * @param occurrence index of the repetition of a scheduled job, from 0; 0 for all other jobs
 * @param step index of the step within the job
 * @param index index of the task within the step
 * @since 0.2
 */
public record TaskId(String job, int occurrence, int step, int index) {
  private static final int PARTS = 4;

  /**
   * Parses the form {@code job.occurrence.step.index}, which {@link #toString} returns.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static TaskId parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != PARTS) {
      throw new IllegalArgumentException(
          "task is \"" + text + "\"; expected job.occurrence.step.index");
    }
    return new TaskId(
        parts[0],
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]));
  }

  /** Returns the id of the step that this task belongs to. */
  public StepId stepId() {
    return new StepId(job, occurrence, step);
  }

  /** Returns the form {@code job.occurrence.step.index}. */
  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
