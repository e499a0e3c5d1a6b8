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
 * @since 0.2
 */
public record LeaseBounds(
    boolean granted, long earlierLeasesMillis, Map<String, Long> silentExecutorMillis) {
  public LeaseBounds {
    silentExecutorMillis = Map.copyOf(silentExecutorMillis);
  }
}
