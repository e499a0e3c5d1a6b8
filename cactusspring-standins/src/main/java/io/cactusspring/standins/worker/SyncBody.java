package io.cactusspring.standins.worker;

import java.util.List;

/** Request body of a sync; an absent list is treated as empty. */
record SyncBody(
    long epoch,
    List<String> renew,
    long leaseMillis,
    List<String> stop,
    List<String> checkpoint,
    List<String> forget,
    List<String> throttle,
    boolean full) {
  SyncBody {
    renew = orEmpty(renew);
    stop = orEmpty(stop);
    checkpoint = orEmpty(checkpoint);
    forget = orEmpty(forget);
    throttle = orEmpty(throttle);
  }

  private static List<String> orEmpty(List<String> ids) {
    return ids == null ? List.of() : List.copyOf(ids);
  }
}
