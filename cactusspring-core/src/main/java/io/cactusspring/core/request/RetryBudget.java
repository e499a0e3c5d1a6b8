package io.cactusspring.core.request;

/**
 * Token bucket that keeps retries a small part of the requests: each request earns a fraction of a
 * retry, and a slow refill lets rare requests be retried too.
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
   * @param reserve retries that may be saved up; the bucket starts full
   */
  public RetryBudget(double ratio, int reserve, long nowNanos) {
    this.ratio = ratio;
    this.reserve = reserve;
    this.tokens = reserve;
    this.refilledNanos = nowNanos;
  }

  /** Notes a first attempt. */
  public void earn() {
    tokens = Math.min(reserve, tokens + ratio);
  }

  /** Tells whether a retry is allowed now. */
  public boolean allows(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1;
  }

  /** Takes one retry; call only when {@link #allows} holds. */
  public void spend() {
    tokens -= 1;
  }

  private void refill(long nowNanos) {
    tokens = Math.min(reserve, tokens + (nowNanos - refilledNanos) * TOKENS_PER_NANO);
    refilledNanos = nowNanos;
  }
}
