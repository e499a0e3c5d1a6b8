package io.cactusspring.jobs.model;

import java.util.List;

/**
 * A job as a caller submitted it.
 *
 * @param id the caller's id of the job
 * @param queue the queue as configured when the job was accepted
 * @param organisation the team whose key came with it; empty on an open queue
 * @param payload what the tasks are told to run
 * @param steps the steps, in the caller's order
 * @param startMillis when the first repetition is due, in Unix milliseconds
 * @param intervalMillis time between repetitions
 * @param repetitions how often the steps run; 0 for a job that runs once, at once
 * @param acceptedMillis Unix milliseconds at the entry host that accepted it
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
  /** Most repetitions of one job that are kept. */
  private static final int MAX_REPETITIONS = 10_000;

  /**
   * @throws IllegalArgumentException if there is no step, or a step waits for a later one
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

  /** Returns how many occurrences of the steps there are in all. */
  public int occurrences() {
    return Math.max(1, repetitions);
  }

  /** Returns when an occurrence is due, in Unix milliseconds; 0 for at once. */
  public long dueMillis(int occurrence) {
    return repetitions == 0 ? 0 : startMillis + occurrence * intervalMillis;
  }
}
