package io.cactusspring.benchmarks.request;

import io.cactusspring.core.request.RequestSettings;
import java.util.Locale;

/** Routing policies that are compared; the baselines run the same code with other settings. */
public enum RequestPolicy {
  CACTUSSPRING,
  /** Draws a free endpoint at random. */
  RANDOM_ROUTING,
  /** Allows a retry of every failed attempt. */
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

  /** Returns the name shown in tables. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
