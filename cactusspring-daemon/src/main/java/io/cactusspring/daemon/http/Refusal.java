package io.cactusspring.daemon.http;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.request.ExecutionStatus;

/**
 * Body of every response that reports an error.
 *
 * <pre>{@code
 * Refusal r = Refusal.of(RefusalReason.OVER_LIMIT, "team counter is at its limit")
 *     .withRetryAfterMillis(250);
 * }</pre>
 *
 * @param ran whether the requested operation was executed
 * @param retryAfterMillis time after which the caller should retry, in milliseconds; null if a
 *     retry is not expected to succeed
 * @param requestId id of the refused request; set by {@link RefusalWriter} if null
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Refusal(
    RefusalReason reason,
    String message,
    ExecutionStatus ran,
    Long retryAfterMillis,
    String requestId) {
  /**
   * @throws IllegalArgumentException if reason, message or ran is missing
   */
  public Refusal {
    Arguments.checkPresent("reason", reason);
    Arguments.checkPresent("message", message);
    Arguments.checkPresent("ran", ran);
  }

  /** Returns a refusal of an operation that was not executed. */
  public static Refusal of(RefusalReason reason, String message) {
    return new Refusal(reason, message, ExecutionStatus.NO, null, null);
  }

  public Refusal withRan(ExecutionStatus value) {
    return new Refusal(reason, message, value, retryAfterMillis, requestId);
  }

  public Refusal withRetryAfterMillis(long value) {
    return new Refusal(reason, message, ran, value, requestId);
  }

  public Refusal withRequestId(String value) {
    return new Refusal(reason, message, ran, retryAfterMillis, value);
  }

  @JsonIgnore
  public int status() {
    return reason.status();
  }
}
