package io.cactusspring.soak;

import io.cactusspring.soak.Observation.Disturbed;
import java.util.ArrayList;
import java.util.List;

/** The periods in which faults excuse delays. */
final class Disturbances {
  private final List<Disturbed> periods = new ArrayList<>();

  void add(Disturbed period) {
    periods.add(period);
  }

  /** Returns the end of the last period that overlaps the given one, or -1 if none does. */
  long lastEnd(long from, long until) {
    return periods.stream()
        .filter(p -> p.at() <= until && p.until() >= from)
        .mapToLong(Disturbed::until)
        .max()
        .orElse(-1);
  }

  boolean isCalm(long from, long until) {
    return lastEnd(from, until) < 0;
  }
}
