package io.cactusspring.core.placement;

/** Enforces minimum intervals between searches that are expensive to repeat. */
final class SearchIntervals {
  private static final long PREEMPTION_INTERVAL_MILLIS = 200;
  private static final long RESERVATION_INTERVAL_MILLIS = 20;
  private static final long FAILED_RESERVATION_INTERVAL_MILLIS = 500;
  private static final long GANG_CLAIM_INTERVAL_MILLIS = 250;

  private long preemptionDueMillis = Long.MIN_VALUE;
  private long reservationDueMillis = Long.MIN_VALUE;
  private long gangClaimDueMillis = Long.MIN_VALUE;

  boolean preemptionIsDue(long nowMillis) {
    if (nowMillis < preemptionDueMillis) {
      return false;
    }
    preemptionDueMillis = nowMillis + PREEMPTION_INTERVAL_MILLIS;
    return true;
  }

  boolean reservationIsDue(long nowMillis) {
    return nowMillis >= reservationDueMillis;
  }

  void reservationPlanned(boolean found, long nowMillis) {
    reservationDueMillis =
        nowMillis + (found ? RESERVATION_INTERVAL_MILLIS : FAILED_RESERVATION_INTERVAL_MILLIS);
  }

  boolean gangClaimIsDue(long nowMillis) {
    if (nowMillis < gangClaimDueMillis) {
      return false;
    }
    gangClaimDueMillis = nowMillis + GANG_CLAIM_INTERVAL_MILLIS;
    return true;
  }
}
