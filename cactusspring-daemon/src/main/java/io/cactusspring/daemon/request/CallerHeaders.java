package io.cactusspring.daemon.request;

import io.cactusspring.core.model.Arguments;
import io.cactusspring.daemon.http.Refusal;
import io.cactusspring.daemon.http.RefusalException;
import io.cactusspring.daemon.http.RefusalReason;
import io.vertx.core.http.HttpServerRequest;

/**
 * Headers of a caller's request.
 *
 * @param queue name of an open queue; null if the request is authenticated by a key
 */
record CallerHeaders(boolean idempotent, long deadlineMillis, String queue) {
  private static final String IDEMPOTENT = "x-idempotent";
  private static final String DEADLINE = "x-deadline-millis";
  private static final String QUEUE = "x-queue";
  private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
  private static final long MAX_DEADLINE_MILLIS = 120_000;

  /**
   * Reads the headers.
   *
   * @throws RefusalException if one is malformed
   */
  static CallerHeaders read(HttpServerRequest request) throws RefusalException {
    return new CallerHeaders(
        readIdempotent(request), readDeadline(request), request.getHeader(QUEUE));
  }

  private static boolean readIdempotent(HttpServerRequest request) throws RefusalException {
    String text = request.getHeader(IDEMPOTENT);
    if (text == null || text.equals("false")) {
      return false;
    }
    if (!text.equals("true")) {
      throw badHeader(IDEMPOTENT + " is \"" + text + "\"; expected true or false");
    }
    return true;
  }

  private static long readDeadline(HttpServerRequest request) throws RefusalException {
    String text = request.getHeader(DEADLINE);
    if (text == null) {
      return DEFAULT_DEADLINE_MILLIS;
    }
    try {
      return Arguments.checkRange(DEADLINE, Long.parseLong(text), 1, MAX_DEADLINE_MILLIS);
    } catch (NumberFormatException e) {
      throw badHeader(DEADLINE + " is \"" + text + "\"; expected a number of milliseconds");
    } catch (IllegalArgumentException e) {
      throw badHeader(e.getMessage());
    }
  }

  private static RefusalException badHeader(String message) {
    return new RefusalException(Refusal.of(RefusalReason.BAD_HEADER, message));
  }
}
