package io.cactusspring.core.request;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.cactusspring.core.model.Arguments;

/**
 * Settings for queueing, routing and retrying requests.
 *
 * <pre>{@code
 * RequestSettings settings = RequestSettings.builder().maxQueuePerTeam(200).build();
 * }</pre>
 *
 * @since 0.1
 */
@JsonDeserialize(builder = RequestSettings.Builder.class)
public final class RequestSettings {
  private final Builder values;

  private RequestSettings(Builder values) {
    this.values = values;
  }

  public static Builder builder() {
    return new Builder();
  }

  /** Returns the maximum number of requests of one team that may wait for one service. */
  public int maxQueuePerTeam() {
    return values.maxQueuePerTeam;
  }

  /** Returns the number of endpoints with free capacity that are sampled for each request. */
  public int sampledEndpoints() {
    return values.sampledEndpoints;
  }

  /** Returns the time after which a waiting request may be sent to another zone. */
  public long spillAfterMillis() {
    return values.spillAfterMillis;
  }

  /** Returns the minimum timeout of an attempt of an idempotent request. */
  public long attemptTimeoutMillis() {
    return values.attemptTimeoutMillis;
  }

  /**
   * Returns the maximum number of attempts of an idempotent request; attempts that are known not to
   * have run do not count.
   */
  public int maxAttempts() {
    return values.maxAttempts;
  }

  /** Returns the upper bound of the delay before the first retry; doubles with each attempt. */
  public long backoffMillis() {
    return values.backoffMillis;
  }

  public long maxBackoffMillis() {
    return values.maxBackoffMillis;
  }

  /** Returns the number of retries that each request adds to a retry budget, from 0 to 1. */
  public double retryRatio() {
    return values.retryRatio;
  }

  /** Returns the maximum number of retries in a retry budget. */
  public int retryReserve() {
    return values.retryReserve;
  }

  /** Returns the number of consecutive failures after which an endpoint is suspended. */
  public int suspendAfterFailures() {
    return values.suspendAfterFailures;
  }

  /** Returns the first suspension time of a failing endpoint; doubles with each failure. */
  public long suspendMillis() {
    return values.suspendMillis;
  }

  public long maxSuspendMillis() {
    return values.maxSuspendMillis;
  }

  public int connectTimeoutMillis() {
    return values.connectTimeoutMillis;
  }

  /** Returns the time after which an idle connection is closed; rounded up to whole seconds. */
  public long idleConnectionMillis() {
    return values.idleConnectionMillis;
  }

  /** Returns the size of the largest executor response that is passed on to a caller. */
  public long maxAnswerBytes() {
    return values.maxAnswerBytes;
  }

  /** Returns the maximum total size of request bodies held in memory. */
  public long maxHeldBytes() {
    return values.maxHeldBytes;
  }

  /**
   * Builder of {@link RequestSettings}; values that are not set keep their defaults. Setters throw
   * {@link IllegalArgumentException} for a value out of range.
   *
   * @since 0.1
   */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {
    private int maxQueuePerTeam = 1_000;
    private int sampledEndpoints = 3;
    private long spillAfterMillis = 0;
    private long attemptTimeoutMillis = 2_000;
    private int maxAttempts = 4;
    private long backoffMillis = 20;
    private long maxBackoffMillis = 1_000;
    private double retryRatio = 0.1;
    private int retryReserve = 10;
    private int suspendAfterFailures = 3;
    private long suspendMillis = 500;
    private long maxSuspendMillis = 10_000;
    private int connectTimeoutMillis = 500;
    private long idleConnectionMillis = 2_000;
    private long maxAnswerBytes = 8 << 20;
    private long maxHeldBytes = 24 << 20;

    private Builder() {}

    public Builder maxQueuePerTeam(int value) {
      maxQueuePerTeam = (int) Arguments.checkRange("maxQueuePerTeam", value, 0, 1_000_000);
      return this;
    }

    public Builder sampledEndpoints(int value) {
      sampledEndpoints = (int) Arguments.checkRange("sampledEndpoints", value, 1, 1_000);
      return this;
    }

    public Builder spillAfterMillis(long value) {
      spillAfterMillis = Arguments.checkRange("spillAfterMillis", value, 0, 120_000);
      return this;
    }

    public Builder attemptTimeoutMillis(long value) {
      attemptTimeoutMillis = Arguments.checkRange("attemptTimeoutMillis", value, 1, 120_000);
      return this;
    }

    public Builder maxAttempts(int value) {
      maxAttempts = (int) Arguments.checkRange("maxAttempts", value, 1, 100);
      return this;
    }

    public Builder backoffMillis(long value) {
      backoffMillis = Arguments.checkRange("backoffMillis", value, 0, 120_000);
      return this;
    }

    public Builder maxBackoffMillis(long value) {
      maxBackoffMillis = Arguments.checkRange("maxBackoffMillis", value, 0, 120_000);
      return this;
    }

    /**
     * @throws IllegalArgumentException if the ratio is not between 0 and 1
     */
    public Builder retryRatio(double value) {
      if (!(value >= 0 && value <= 1)) {
        throw new IllegalArgumentException("retryRatio is " + value + "; expected 0 to 1");
      }
      retryRatio = value;
      return this;
    }

    public Builder retryReserve(int value) {
      retryReserve = (int) Arguments.checkRange("retryReserve", value, 0, 1_000_000);
      return this;
    }

    public Builder suspendAfterFailures(int value) {
      suspendAfterFailures = (int) Arguments.checkRange("suspendAfterFailures", value, 1, 1_000);
      return this;
    }

    public Builder suspendMillis(long value) {
      suspendMillis = Arguments.checkRange("suspendMillis", value, 0, 120_000);
      return this;
    }

    public Builder maxSuspendMillis(long value) {
      maxSuspendMillis = Arguments.checkRange("maxSuspendMillis", value, 0, 600_000);
      return this;
    }

    public Builder connectTimeoutMillis(int value) {
      connectTimeoutMillis = (int) Arguments.checkRange("connectTimeoutMillis", value, 1, 60_000);
      return this;
    }

    public Builder idleConnectionMillis(long value) {
      idleConnectionMillis = Arguments.checkRange("idleConnectionMillis", value, 1, 600_000);
      return this;
    }

    public Builder maxAnswerBytes(long value) {
      maxAnswerBytes = Arguments.checkRange("maxAnswerBytes", value, 1, 1L << 30);
      return this;
    }

    public Builder maxHeldBytes(long value) {
      maxHeldBytes = Arguments.checkRange("maxHeldBytes", value, 1, 1L << 40);
      return this;
    }

    public RequestSettings build() {
      return new RequestSettings(copy());
    }

    private Builder copy() {
      return new Builder()
          .maxQueuePerTeam(maxQueuePerTeam)
          .sampledEndpoints(sampledEndpoints)
          .spillAfterMillis(spillAfterMillis)
          .attemptTimeoutMillis(attemptTimeoutMillis)
          .maxAttempts(maxAttempts)
          .backoffMillis(backoffMillis)
          .maxBackoffMillis(maxBackoffMillis)
          .retryRatio(retryRatio)
          .retryReserve(retryReserve)
          .suspendAfterFailures(suspendAfterFailures)
          .suspendMillis(suspendMillis)
          .maxSuspendMillis(maxSuspendMillis)
          .connectTimeoutMillis(connectTimeoutMillis)
          .idleConnectionMillis(idleConnectionMillis)
          .maxAnswerBytes(maxAnswerBytes)
          .maxHeldBytes(maxHeldBytes);
    }
  }
}
