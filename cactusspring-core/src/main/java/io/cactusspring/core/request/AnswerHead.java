package io.cactusspring.core.request;

/**
 * Head of an executor's answer.
 *
 * @param echoedId request id that the executor sent back; null when it sent none
 * @param contentLength declared length of the body in bytes; negative when not declared
 * @param notRun whether the executor says that it did not run the request
 * @since 0.1
 */
public record AnswerHead(int status, String echoedId, long contentLength, boolean notRun) {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /** What a head means for the attempt. */
  public enum Meaning {
    /** The answer to this request; its body is still to be read whole. */
    ANSWER,
    NOT_RUN,
    FAILED
  }

  /**
   * Judges the head.
   *
   * @param requestId id of the request that was sent
   * @param maxBytes largest body that is passed on
   */
  public Meaning judge(RequestRules rules, String requestId, long maxBytes) {
    boolean hasLength = contentLength >= 0 && contentLength <= maxBytes;
    if (status == OK && hasLength && rules.matchesRequestId(requestId, echoedId)) {
      return Meaning.ANSWER;
    }
    boolean isOthers = echoedId != null && !rules.matchesRequestId(requestId, echoedId);
    return status == UNAVAILABLE && notRun && !isOthers ? Meaning.NOT_RUN : Meaning.FAILED;
  }
}
