package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One attempt of a run on a worker; written {@code workload#index@attempt}.
 *
 * @since 0.1
 */
public record TaskId(RunId run, int attempt) implements Comparable<TaskId> {
  /**
   * @throws IllegalArgumentException if the run is missing or the attempt below 1
   */
  public TaskId {
    Arguments.checkPresent("run", run);
    Arguments.checkRange("attempt", attempt, 1, Integer.MAX_VALUE);
  }

  /**
   * Parses {@code workload#index@attempt}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static TaskId parse(String text) {
    int at = text.lastIndexOf('@');
    if (at < 0) {
      throw new IllegalArgumentException("task is \"" + text + "\"; expected run@attempt");
    }
    RunId run = RunId.parse(text.substring(0, at));
    return new TaskId(run, Integer.parseInt(text.substring(at + 1)));
  }

  @Override
  public int compareTo(TaskId other) {
    int byRun = run.compareTo(other.run);
    return byRun != 0 ? byRun : Integer.compare(attempt, other.attempt);
  }

  @JsonValue
  @Override
  public String toString() {
    return run + "@" + attempt;
  }
}
