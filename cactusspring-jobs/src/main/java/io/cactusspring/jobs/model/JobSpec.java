package io.cactusspring.jobs.model;

import java.util.List;

/**
 * A job as a caller submitted it.
 *
 * @param id id of the job, chosen by the caller
 * @param queue the queue as configured when the job was accepted
 * @param organisation the team whose key was sent with the submission; null or empty on an open
 *     queue
 * @param payload what the tasks run, as the caller sent it; null becomes empty
 * @param steps the steps, in the order of the submission
 * @param startMillis Unix milliseconds at which the first repetition is due
 * @param intervalMillis milliseconds between the due times of two repetitions
 * @param repetitions number of times that the steps run; 0 for a job that runs once, immediately
 * @param acceptedMillis Unix milliseconds of acceptance, by the clock of the accepting entry host
 * @since 0.2
 */
public record JobSpec(
    String id,
    Queue queue,
    String organisation,
    String payload,
    List<StepSpec> steps,
    long startMillis,
    long intervalMillis,
    int repetitions,
    long acceptedMillis) {
  /** Maximum number of repetitions; submissions with more are rejected. */
  private static final int MAX_REPETITIONS = 10_000;

  /**
   * @throws IllegalArgumentException if there is no step, if a step depends on itself, a later or
   *     an unknown step, or if {@code repetitions} is out of range
   */
  public JobSpec {
    organisation = organisation == null ? "" : organisation;
    payload = payload == null ? "" : payload;
    if (steps == null || steps.isEmpty()) {
      throw new IllegalArgumentException("steps is empty; expected at least one step");
    }
    if (repetitions < 0 || repetitions > MAX_REPETITIONS) {
      throw new IllegalArgumentException(
          "repetitions is " + repetitions + "; expected 0 to " + MAX_REPETITIONS);
    }
    steps = List.copyOf(steps);
    for (int i = 0; i < steps.size(); i++) {
      for (int dependency : steps.get(i).after()) {
        if (dependency < 0 || dependency >= i) {
          throw new IllegalArgumentException(
              "steps[" + i + "].after names " + dependency + "; expected an earlier step");
        }
      }
    }
  }

  /** Returns whether another submission asks for the same work, whenever it was accepted. */
  public boolean hasSameContent(JobSpec other) {
    return payload.equals(other.payload)
        && steps.equals(other.steps)
        && startMillis == other.startMillis
        && intervalMillis == other.intervalMillis
        && repetitions == other.repetitions;
  }

  /** Returns the total number of occurrences of the steps, at least 1. */
  public int occurrences() {
    return Math.max(1, repetitions);
  }

  /** Returns the Unix milliseconds at which an occurrence is due; 0 for immediately. */
  public long dueMillis(int occurrence) {
    return repetitions == 0 ? 0 : startMillis + occurrence * intervalMillis;
  }
}
