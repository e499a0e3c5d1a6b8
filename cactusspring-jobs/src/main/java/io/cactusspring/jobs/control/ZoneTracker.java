package io.cactusspring.jobs.control;

import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.ZoneRecord;
import io.cactusspring.jobs.model.ZoneStates;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.Timers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/** Tracks which availability zones are evacuated, from the records of the operators. */
final class ZoneTracker {
  /** Logged as the age of a record that was found by the first load of the topic. */
  private static final long UNKNOWN_AGE = -1;

  // A year and more; before the first read, the follower counts from the beginning of its clock.
  private static final long MAX_KNOWN_AGE_MILLIS = 1L << 35;

  private record Evacuation(String zone, long offset) {}

  private final Function<Entry, Optional<ZoneRecord>> readZone;
  private final Timers timers;
  private final JobLog log;
  private final Consumer<ZoneStates> onChange;
  private final Map<String, Evacuation> evacuationsByKey = new HashMap<>();
  private ZoneStates states = ZoneStates.NONE;

  /**
   * @param onChange called at once for each zone that is evacuated or returned to use
   */
  ZoneTracker(
      Function<Entry, Optional<ZoneRecord>> readZone,
      Timers timers,
      JobLog log,
      Consumer<ZoneStates> onChange) {
    this.readZone = readZone;
    this.timers = timers;
    this.log = log;
    this.onChange = onChange;
  }

  ZoneStates states() {
    return states;
  }

  /**
   * Applies a record, unless it does not concern a zone.
   *
   * @param maxAgeMillis the time since the last read that did not return the record, which is the
   *     longest time since it was written; larger than any real age if there was none
   */
  void apply(Entry entry, long maxAgeMillis) {
    readZone.apply(entry).ifPresent(record -> apply(entry, record, maxAgeMillis));
  }

  private void apply(Entry entry, ZoneRecord record, long maxAgeMillis) {
    if (record.evacuated()) {
      evacuationsByKey.put(entry.key(), new Evacuation(record.zone(), entry.offset()));
      if (!states.evacuated().contains(record.zone())) {
        change(states.evacuate(record.zone()));
        logChange(JobEvent.ZONE_EVACUATED, record.zone(), entry.offset(), maxAgeMillis);
      }
    } else if (evacuationsByKey.remove(entry.key()) != null) {
      returnToUse(record.zone(), entry.offset(), maxAgeMillis);
    }
  }

  /**
   * Returns the zones to use whose records were deleted before the topic was loaded. The load does
   * not return deletions.
   *
   * @param keys all keys of the topic
   * @param end the offset up to which the keys are complete
   */
  void loaded(Set<String> keys, long end, long maxAgeMillis) {
    List<String> deleted =
        evacuationsByKey.keySet().stream()
            .filter(k -> !keys.contains(k) && evacuationsByKey.get(k).offset() < end)
            .toList();
    for (String key : deleted) {
      Evacuation evacuation = evacuationsByKey.remove(key);
      returnToUse(evacuation.zone(), evacuation.offset(), maxAgeMillis);
    }
  }

  private void returnToUse(String zone, long offset, long maxAgeMillis) {
    change(states.returnToUse(zone, timers.nowMillis()));
    logChange(JobEvent.ZONE_IN_USE, zone, offset, maxAgeMillis);
  }

  private void change(ZoneStates next) {
    states = next;
    onChange.accept(next);
  }

  private void logChange(JobEvent event, String zone, long offset, long maxAgeMillis) {
    log.event(
        event,
        "zone",
        zone,
        "offset",
        offset,
        "maxAgeMillis",
        maxAgeMillis > MAX_KNOWN_AGE_MILLIS ? UNKNOWN_AGE : maxAgeMillis);
  }
}
