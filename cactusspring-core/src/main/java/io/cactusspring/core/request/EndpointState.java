package io.cactusspring.core.request;

/** Load, latency and failures of one endpoint, as observed by this entry host. */
final class EndpointState {
  private static final long FULL_BACKOFF_BASE_NANOS = 1_000_000;
  private static final long FULL_BACKOFF_MAX_NANOS = 8_000_000;
  private static final int REFUSALS_BEFORE_DOUBLING = 5;
  private static final double REMOTE_LOAD_WEIGHT_FOR_CAPACITY = 0.5;
  private static final double REMOTE_LOAD_WEIGHT_FOR_SCORE = 0.25;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RequestSettings settings;
  private final LatencyAverage latency = new LatencyAverage();
  private final RetryBudget retryBudget;
  private EndpointShare share;
  private int inFlight;
  private int consecutiveFailures;
  private int consecutiveNotRun;
  private long suspendedUntilNanos;
  private long fullUntilNanos;

  EndpointState(EndpointShare share, RequestSettings settings, long nowNanos) {
    this.share = share;
    this.settings = settings;
    this.retryBudget = new RetryBudget(settings.retryRatio(), settings.retryReserve(), nowNanos);
    this.suspendedUntilNanos = nowNanos;
    this.fullUntilNanos = nowNanos;
  }

  EndpointShare share() {
    return share;
  }

  void setShare(EndpointShare value) {
    share = value;
  }

  int inFlight() {
    return inFlight;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  long latencyNanos() {
    return latency.nanos();
  }

  /**
   * Returns whether the endpoint may have capacity for another request: a slot of this entry host's
   * own, or a slot that is free according to the load reported by other entry hosts. Reported load
   * is outdated by the time it is used and is therefore weighted; the endpoint refuses requests
   * that exceed its capacity.
   */
  boolean hasCapacity(int remoteInFlight, long nowNanos) {
    if (nowNanos - fullUntilNanos < 0 || inFlight >= share.ownConnections()) {
      return false;
    }
    return inFlight < share.ownSlots()
        || inFlight + REMOTE_LOAD_WEIGHT_FOR_CAPACITY * remoteInFlight < share.info().slots();
  }

  /**
   * Returns whether the endpoint is suspended after consecutive failures. When the suspension time
   * has passed, it is used for one request at a time until one succeeds.
   */
  boolean isSuspended(long nowNanos) {
    if (consecutiveFailures < settings.suspendAfterFailures()) {
      return false;
    }
    return nowNanos - suspendedUntilNanos < 0 || inFlight > 0;
  }

  /** Returns the expected cost of choosing this endpoint; the lowest score is chosen. */
  double score(int remoteInFlight) {
    double occupied =
        (inFlight + REMOTE_LOAD_WEIGHT_FOR_SCORE * remoteInFlight + 1)
            / (double) share.info().slots();
    return occupied * Math.max(NANOS_PER_MILLI / 10, latency.nanos());
  }

  void attemptStarted() {
    inFlight++;
  }

  void attemptEnded(AttemptOutcome outcome, long tookNanos, long nowNanos) {
    inFlight--;
    switch (outcome) {
      case AttemptOutcome.Answered a -> answered(tookNanos);
      case AttemptOutcome.NotRun n -> notRun(nowNanos);
      case AttemptOutcome.NotSent n -> notSent(nowNanos);
      case AttemptOutcome.Failed f -> {
        latency.add(tookNanos);
        failed(nowNanos);
      }
    }
  }

  private void answered(long tookNanos) {
    latency.add(tookNanos);
    consecutiveFailures = 0;
    consecutiveNotRun = 0;
  }

  private void notRun(long nowNanos) {
    consecutiveNotRun++;
    markFull(consecutiveNotRun - REFUSALS_BEFORE_DOUBLING, nowNanos);
  }

  private void notSent(long nowNanos) {
    failed(nowNanos);
    markFull(consecutiveFailures, nowNanos);
  }

  private void markFull(int times, long nowNanos) {
    fullUntilNanos =
        nowNanos + Backoff.boundNanos(FULL_BACKOFF_BASE_NANOS, FULL_BACKOFF_MAX_NANOS, times);
  }

  private void failed(long nowNanos) {
    consecutiveFailures++;
    int over = consecutiveFailures - settings.suspendAfterFailures() + 1;
    if (over > 0) {
      long base = settings.suspendMillis() * NANOS_PER_MILLI;
      long max = settings.maxSuspendMillis() * NANOS_PER_MILLI;
      suspendedUntilNanos = nowNanos + Backoff.boundNanos(base, max, over);
    }
  }
}
