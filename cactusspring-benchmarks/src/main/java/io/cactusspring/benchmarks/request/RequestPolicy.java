package io.cactusspring.benchmarks.request;

import io.cactusspring.core.request.RequestSettings;
import java.util.Locale;

/** What is compared; the baselines are settings of the same code. */
public enum RequestPolicy {
  CACTUSSPRING,
  /** A free endpoint is drawn at random. */
  RANDOM_ROUTING,
  /** Every failed attempt may be repeated. */
  NO_RETRY_BUDGET;

  private static final int UNLIMITED = 1_000_000;

  RequestSettings settings() {
    RequestSettings.Builder builder = RequestSettings.builder();
    return switch (this) {
      case CACTUSSPRING -> builder.build();
      case RANDOM_ROUTING -> builder.sampledEndpoints(1).build();
      case NO_RETRY_BUDGET -> builder.retryRatio(1).retryReserve(UNLIMITED).build();
    };
  }

  /** Returns the name for tables. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
