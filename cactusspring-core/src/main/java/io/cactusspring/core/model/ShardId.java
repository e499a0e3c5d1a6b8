package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A set of workers of one availability zone that has a single owner at any time; written {@code
 * zone/index}.
 *
 * @since 0.1
 */
public record ShardId(AvailabilityZone zone, int index) implements Comparable<ShardId> {
  /**
   * @throws IllegalArgumentException if the index is out of range
   */
  public ShardId {
    Arguments.checkPresent("zone", zone);
    Arguments.checkRange("shard index", index, 0, 63);
  }

  /**
   * Parses {@code zone/index}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static ShardId parse(String text) {
    int slash = text.lastIndexOf('/');
    if (slash < 0) {
      throw new IllegalArgumentException("shard is \"" + text + "\"; expected zone/index");
    }
    AvailabilityZone zone = new AvailabilityZone(text.substring(0, slash));
    return new ShardId(zone, Integer.parseInt(text.substring(slash + 1)));
  }

  @Override
  public int compareTo(ShardId other) {
    int byZone = zone.compareTo(other.zone);
    return byZone != 0 ? byZone : Integer.compare(index, other.index);
  }

  @JsonValue
  @Override
  public String toString() {
    return zone.name() + "/" + index;
  }
}
