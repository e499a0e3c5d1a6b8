package io.cactusspring.jobs.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The availability zones that operators have evacuated or returned to use. A zone that is not named
 * has been in use since before this host read the operators' records.
 *
 * @param evacuated the evacuated zones
 * @param returnedAt when this host read that a zone was returned to use, in milliseconds of its
 *     monotonic clock
 * @since 0.2
 */
public record ZoneStates(Set<String> evacuated, Map<String, Long> returnedAt) {
  /** All zones are in use. */
  public static final ZoneStates NONE = new ZoneStates(Set.of(), Map.of());

  public ZoneStates {
    evacuated = Set.copyOf(evacuated);
    returnedAt = Map.copyOf(returnedAt);
  }

  /** Returns the states after a zone was evacuated. */
  public ZoneStates evacuate(String zone) {
    Set<String> zones = new HashSet<>(evacuated);
    zones.add(zone);
    Map<String, Long> returned = new HashMap<>(returnedAt);
    returned.remove(zone);
    return new ZoneStates(zones, returned);
  }

  /** Returns the states after a zone was returned to use. */
  public ZoneStates returnToUse(String zone, long now) {
    Set<String> zones = new HashSet<>(evacuated);
    zones.remove(zone);
    Map<String, Long> returned = new HashMap<>(returnedAt);
    returned.put(zone, now);
    return new ZoneStates(zones, returned);
  }
}
