package io.cactusspring.jobs.model;

/**
 * A decision of the operators on an availability zone.
 *
 * @param zone name of the zone
 * @param evacuated whether the zone is evacuated; otherwise it is returned to use
 * @since 0.2
 */
public record ZoneRecord(String zone, boolean evacuated) {
  /**
   * @throws IllegalArgumentException if the name is empty
   */
  public ZoneRecord {
    if (zone.isEmpty()) {
      throw new IllegalArgumentException("the name of the zone is empty");
    }
  }
}
