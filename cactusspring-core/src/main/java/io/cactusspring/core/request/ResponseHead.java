package io.cactusspring.core.request;

/**
 * Status line and headers of an executor's response.
 *
 * @param status HTTP status code
 * @param echoedId request id in the response headers; null if absent
 * @param contentLength declared length of the body in bytes; negative if not declared
 * @param notRun whether the executor reports that it did not run the request
 * @since 0.1
 */
public record ResponseHead(int status, String echoedId, long contentLength, boolean notRun) {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /** Effect of a response head on the attempt. */
  public enum Classification {
    /** A response to this request, valid once its complete body has been read. */
    RESPONSE,
    /** The executor did not run the request. */
    NOT_RUN,
    /** The request may have run, and the response cannot be used. */
    FAILED
  }

  /**
   * Classifies the head.
   *
   * @param requestId id of the request that was sent
   * @param maxBytes largest body in bytes that may be passed on to the caller
   */
  public Classification classify(RequestRules rules, String requestId, long maxBytes) {
    boolean hasLength = contentLength >= 0 && contentLength <= maxBytes;
    if (status == OK && hasLength && rules.matchesRequestId(requestId, echoedId)) {
      return Classification.RESPONSE;
    }
    boolean isOthers = echoedId != null && !rules.matchesRequestId(requestId, echoedId);
    return status == UNAVAILABLE && notRun && !isOthers
        ? Classification.NOT_RUN
        : Classification.FAILED;
  }
}
