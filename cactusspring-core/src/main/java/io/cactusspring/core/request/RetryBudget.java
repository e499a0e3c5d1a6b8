package io.cactusspring.core.request;

/**
 * Token bucket that limits retries to a small fraction of requests: each request earns a fraction
 * of a retry, and a refill of one retry per second allows retries at low request rates. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class RetryBudget {
  private static final double TOKENS_PER_NANO = 1e-9;

  private final double ratio;
  private final double reserve;
  private double tokens;
  private long refilledNanos;

  /**
   * @param ratio retries earned by one request
   * @param reserve capacity of the bucket in retries; the bucket starts full
   * @param nowNanos current monotonic time
   */
  public RetryBudget(double ratio, int reserve, long nowNanos) {
    this.ratio = ratio;
    this.reserve = reserve;
    this.tokens = reserve;
    this.refilledNanos = nowNanos;
  }

  /** Records a first attempt, which earns a fraction of a retry. */
  public void earn() {
    tokens = Math.min(reserve, tokens + ratio);
  }

  /** Returns whether a retry is allowed now. */
  public boolean allows(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1;
  }

  /** Removes one retry; must only be called after {@link #allows} returned true. */
  public void spend() {
    tokens -= 1;
  }

  private void refill(long nowNanos) {
    tokens = Math.min(reserve, tokens + (nowNanos - refilledNanos) * TOKENS_PER_NANO);
    refilledNanos = nowNanos;
  }
}
