package io.cactusspring.core.request;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Decides whether and when a request that may have run is sent again. */
final class RetryPolicy {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int TIMEOUT_LATENCY_FACTOR = 4;
  private static final int MAX_DOUBLINGS = 16;

  private final RequestSettings settings;
  private final RandomGenerator random;
  private final Map<String, RetryBudget> teamBudgets = new HashMap<>();

  RetryPolicy(RequestSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /** Records the first attempt of a request in the retry budgets of its team and endpoint. */
  void recordFirstAttempt(RequestLifecycle request, EndpointState endpoint, long nowNanos) {
    teamBudget(request, nowNanos).earn();
    endpoint.retryBudget().earn();
  }

  /** Returns the earliest monotonic time of the next attempt. */
  long nextAttemptNanos(RequestLifecycle request, long nowNanos) {
    long base = settings.backoffMillis() * NANOS_PER_MILLI;
    long max = settings.maxBackoffMillis() * NANOS_PER_MILLI;
    return nowNanos + Backoff.jitteredNanos(base, max, request.attempt(), random);
  }

  /**
   * Takes a retry from the budgets of the team and the failed endpoint, if the deadline, the number
   * of attempts and both budgets allow it.
   *
   * @param atNanos monotonic time of the next attempt
   */
  boolean tryRetry(RequestLifecycle request, EndpointState failed, long atNanos, long nowNanos) {
    RetryBudget ofTeam = teamBudget(request, nowNanos);
    RetryBudget ofEndpoint = failed.retryBudget();
    boolean hasTime = atNanos - request.spec().deadlineNanos() < 0;
    boolean hasAttempts = request.attemptsThatMayHaveRun() < settings.maxAttempts();
    if (!hasTime || !hasAttempts || !ofTeam.allows(nowNanos) || !ofEndpoint.allows(nowNanos)) {
      return false;
    }
    ofTeam.spend();
    ofEndpoint.spend();
    return true;
  }

  /** Returns the timeout of an attempt; unlimited for a request that must not be sent again. */
  long attemptTimeoutNanos(RequestLifecycle request, EndpointState endpoint) {
    if (!request.spec().idempotent()) {
      return Long.MAX_VALUE;
    }
    long base = settings.attemptTimeoutMillis() * NANOS_PER_MILLI;
    long usual = TIMEOUT_LATENCY_FACTOR * endpoint.latencyNanos();
    return Math.max(base, usual) << Math.min(request.attemptsThatMayHaveRun(), MAX_DOUBLINGS);
  }

  private RetryBudget teamBudget(RequestLifecycle request, long nowNanos) {
    return teamBudgets.computeIfAbsent(
        request.spec().team(),
        t -> new RetryBudget(settings.retryRatio(), settings.retryReserve(), nowNanos));
  }
}
