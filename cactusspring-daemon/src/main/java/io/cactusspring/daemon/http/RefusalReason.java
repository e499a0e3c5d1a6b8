package io.cactusspring.daemon.http;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Reason for which a request is refused, with the HTTP status of the response.
 *
 * @since 0.1
 */
public enum RefusalReason {
  MALFORMED_BODY(400),
  BAD_HEADER(400),
  MISSING_KEY(401),
  UNKNOWN_KEY(401),
  NOT_YOUR_TEAM(403),
  NOT_AN_OPERATOR(403),
  UNKNOWN_SERVICE(404),
  UNKNOWN_SUBMISSION(404),
  NOT_FOUND(404),
  NOTE_CONFLICT(409),
  SUBMISSION_CONFLICT(409),
  BODY_TOO_LARGE(413),
  CONTENT_TYPE(415),
  NOTE_INVALID(422),
  INVALID_VALUE(422),
  OVER_LIMIT(429),
  QUEUE_FULL(429),
  ENDPOINT_FAILED(502),
  NO_ENDPOINT(503),
  NOT_READY(503),
  DRAINING(503),
  LOG_UNAVAILABLE(503),
  DEADLINE(504);

  private final int status;
  private final String wireName;

  RefusalReason(int status) {
    this.status = status;
    this.wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  public int status() {
    return status;
  }

  /** Name in responses and metrics, for example {@code over-limit}. */
  @JsonValue
  public String wireName() {
    return wireName;
  }
}
