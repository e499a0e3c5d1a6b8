package io.cactusspring.standins.http;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The kind of outage that a stand-in simulates.
 *
 * @since 0.1
 */
public enum Outage {
  /** No outage. */
  @JsonProperty("none")
  NONE,
  /** Each request is answered with status 503. */
  @JsonProperty("refuse")
  REFUSE,
  /** Requests are accepted and never answered. */
  @JsonProperty("silent")
  SILENT
}
