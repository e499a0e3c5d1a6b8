package io.cactusspring.jobs.schedule;

import java.util.Optional;

/** Why an executor gets no new tasks. The names are written to the log. */
enum Exclusion {
  UNLISTED,
  SET_ASIDE,
  SILENT,
  NOT_REPORTED,
  DRAINING,
  BOOT_NOT_ANNOUNCED,
  START_UNANSWERED,
  QUARANTINED,
  /** Its availability zone is evacuated, being returned to use, or not known to be in use. */
  ZONE_NOT_IN_USE;

  /** Returns why an executor that is callable takes no task now; empty if it takes any. */
  static Optional<Exclusion> of(LiveExecutor executor, boolean zoneInUse, long now) {
    return executor.isUsableAsLastResort(now)
        ? Optional.empty()
        : Optional.of(cause(executor, zoneInUse));
  }

  private static Exclusion cause(LiveExecutor executor, boolean zoneInUse) {
    if (!executor.listed()) {
      return UNLISTED;
    }
    if (executor.isSetAside()) {
      return SET_ASIDE;
    }
    if (executor.isSilent()) {
      return SILENT;
    }
    if (!executor.hasReported()) {
      return NOT_REPORTED;
    }
    if (executor.isDraining()) {
      return DRAINING;
    }
    if (!executor.isBootAnnounced()) {
      return BOOT_NOT_ANNOUNCED;
    }
    if (executor.isSuspect()) {
      return START_UNANSWERED;
    }
    return zoneInUse ? QUARANTINED : ZONE_NOT_IN_USE;
  }
}
