package io.cactusspring.standins.http;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * How a platform service fails while it is out.
 *
 * @since 0.1
 */
public enum Outage {
  /** The service works. */
  @JsonProperty("none")
  NONE,
  /** Each call is answered 503. */
  @JsonProperty("refuse")
  REFUSE,
  /** Calls are accepted and never answered. */
  @JsonProperty("silent")
  SILENT
}
