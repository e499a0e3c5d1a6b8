package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One run of a batch, one member of a gang or one replica of a service; written {@code
 * workload#index}.
 *
 * @param workload the submission's id, or {@code service:NAME} for a replica
 * @param index position within the workload, from 0
 * @since 0.1
 */
public record RunId(String workload, int index) implements Comparable<RunId> {
  /**
   * @throws IllegalArgumentException if the workload is missing or the index negative
   */
  public RunId {
    Arguments.checkPresent("workload", workload);
    Arguments.checkRange("run index", index, 0, Integer.MAX_VALUE);
  }

  /**
   * Parses {@code workload#index}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static RunId parse(String text) {
    int hash = text.lastIndexOf('#');
    if (hash < 0) {
      throw new IllegalArgumentException("run is \"" + text + "\"; expected workload#index");
    }
    return new RunId(text.substring(0, hash), Integer.parseInt(text.substring(hash + 1)));
  }

  @Override
  public int compareTo(RunId other) {
    int byWorkload = workload.compareTo(other.workload);
    return byWorkload != 0 ? byWorkload : Integer.compare(index, other.index);
  }

  @JsonValue
  @Override
  public String toString() {
    return workload + "#" + index;
  }
}
