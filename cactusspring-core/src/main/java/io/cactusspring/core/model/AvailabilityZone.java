package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an availability zone, for example {@code riga-a}.
 *
 * @since 0.1
 */
public record AvailabilityZone(@JsonValue String name) implements Comparable<AvailabilityZone> {
  /**
   * @throws IllegalArgumentException if the name is malformed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public AvailabilityZone {
    Arguments.checkName("availability zone", name);
  }

  @Override
  public int compareTo(AvailabilityZone other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
