package io.cactusspring.jobs.ledger;

import java.util.Map;

/**
 * How long executors may hold leases after an owner has ended, as its newest record says.
 *
 * @param granted whether the owner may have granted leases, apart from the executors in {@code
 *     silentExecutorMillis}
 * @param earlierLeasesMillis how long after the record leases of earlier owners last at most
 * @param silentExecutorMillis how long after the record any lease lasts at most on executors that
 *     do not answer, by executor id; the owner grants them none while the record is the newest
 * @param longLeaseMillis how long after the record leases last at most on executors that may have
 *     taken longer ones than owners grant, by executor id
 * @since 0.2
 */
public record LeaseBounds(
    boolean granted,
    long earlierLeasesMillis,
    Map<String, Long> silentExecutorMillis,
    Map<String, Long> longLeaseMillis) {
  public LeaseBounds {
    silentExecutorMillis = Map.copyOf(silentExecutorMillis);
    longLeaseMillis = Map.copyOf(longLeaseMillis);
  }

  /** Creates bounds that name no executor with a longer lease than owners grant. */
  public LeaseBounds(
      boolean granted, long earlierLeasesMillis, Map<String, Long> silentExecutorMillis) {
    this(granted, earlierLeasesMillis, silentExecutorMillis, Map.of());
  }

  /** Returns whether a later owner expects a lease of an executor that lasts so long. */
  public boolean covers(String executor, long millis) {
    return longLeaseMillis.getOrDefault(executor, earlierLeasesMillis) >= millis;
  }
}
