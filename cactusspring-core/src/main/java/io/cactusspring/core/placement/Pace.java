package io.cactusspring.core.placement;

/** Bounds how often the costly searches are tried again. */
final class Pace {
  private static final long PREEMPTION_MILLIS = 200;
  private static final long RESERVATION_MILLIS = 20;
  private static final long FAILED_RESERVATION_MILLIS = 500;
  private static final long GANG_CLAIM_MILLIS = 250;

  private long preemptionDueMillis = Long.MIN_VALUE;
  private long reservationDueMillis = Long.MIN_VALUE;
  private long gangClaimDueMillis = Long.MIN_VALUE;

  boolean preemptionIsDue(long nowMillis) {
    if (nowMillis < preemptionDueMillis) {
      return false;
    }
    preemptionDueMillis = nowMillis + PREEMPTION_MILLIS;
    return true;
  }

  boolean reservationIsDue(long nowMillis) {
    return nowMillis >= reservationDueMillis;
  }

  void planned(boolean found, long nowMillis) {
    reservationDueMillis = nowMillis + (found ? RESERVATION_MILLIS : FAILED_RESERVATION_MILLIS);
  }

  boolean gangClaimIsDue(long nowMillis) {
    if (nowMillis < gangClaimDueMillis) {
      return false;
    }
    gangClaimDueMillis = nowMillis + GANG_CLAIM_MILLIS;
    return true;
  }
}
