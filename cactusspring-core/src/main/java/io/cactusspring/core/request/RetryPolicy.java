package io.cactusspring.core.request;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Decides whether and when requests that may have run are sent again. */
final class RetryPolicy {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int LATENCIES_PER_TIMEOUT = 4;
  private static final int MAX_DOUBLINGS = 16;

  private final RequestSettings settings;
  private final RandomGenerator random;
  private final Map<String, RetryBudget> teams = new HashMap<>();

  RetryPolicy(RequestSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /** Notes the first attempt of a request. */
  void firstAttempt(RequestLife life, EndpointState endpoint, long nowNanos) {
    team(life, nowNanos).earn();
    endpoint.retries().earn();
  }

  /** Returns the earliest time of the next attempt. */
  long nextAttemptNanos(RequestLife life, long nowNanos) {
    long base = settings.backoffMillis() * NANOS_PER_MILLI;
    long max = settings.maxBackoffMillis() * NANOS_PER_MILLI;
    return nowNanos + Backoff.jitteredNanos(base, max, life.attempt(), random);
  }

  /** Takes a retry from both budgets, if time, attempts and budgets allow it. */
  boolean tryRetry(RequestLife life, EndpointState failed, long atNanos, long nowNanos) {
    RetryBudget ofTeam = team(life, nowNanos);
    RetryBudget ofEndpoint = failed.retries();
    boolean hasTime = atNanos - life.spec().deadlineNanos() < 0;
    boolean hasAttempts = life.attemptsThatMayHaveRun() < settings.maxAttempts();
    if (!hasTime || !hasAttempts || !ofTeam.allows(nowNanos) || !ofEndpoint.allows(nowNanos)) {
      return false;
    }
    ofTeam.spend();
    ofEndpoint.spend();
    return true;
  }

  /** Time that an attempt gets; a request that cannot be sent again is left all its time. */
  long attemptTimeoutNanos(RequestLife life, EndpointState endpoint) {
    if (!life.spec().idempotent()) {
      return Long.MAX_VALUE;
    }
    long base = settings.attemptTimeoutMillis() * NANOS_PER_MILLI;
    long usual = LATENCIES_PER_TIMEOUT * endpoint.latencyNanos();
    return Math.max(base, usual) << Math.min(life.attemptsThatMayHaveRun(), MAX_DOUBLINGS);
  }

  private RetryBudget team(RequestLife life, long nowNanos) {
    return teams.computeIfAbsent(
        life.spec().team(),
        t -> new RetryBudget(settings.retryRatio(), settings.retryReserve(), nowNanos));
  }
}
