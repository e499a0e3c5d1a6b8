package io.cactusspring.benchmarks.cell;

import java.util.Locale;

/** Placement policies that are compared. */
public enum Policy {
  CACTUSSPRING,
  FIRST_FIT,
  FIRST_COME_FIRST_SERVED;

  Scheduler newScheduler(Site site) {
    return switch (this) {
      case CACTUSSPRING -> new PlacerScheduler(site);
      case FIRST_FIT -> QueueScheduler.firstFit(site);
      case FIRST_COME_FIRST_SERVED -> QueueScheduler.firstComeFirstServed(site);
    };
  }

  /** Returns the name shown in tables. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
