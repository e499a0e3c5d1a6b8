package io.cactusspring.daemon.http;

import io.cactusspring.core.model.Arguments;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory used by the bodies of open requests. Before its body is read, each request
 * reserves its declared content length, or the maximum body size if it declares none. This class is
 * thread-safe.
 *
 * @since 0.1
 */
public final class BodyMemoryLimiter {
  private static final long RETRY_MILLIS = 250;

  private final long maxBytes;
  private final AtomicLong reserved = new AtomicLong();

  /**
   * Creates a limiter.
   *
   * @param maxBytes bytes that all open requests together may reserve
   * @throws IllegalArgumentException if {@code maxBytes} is not positive
   */
  public BodyMemoryLimiter(long maxBytes) {
    this.maxBytes = Arguments.checkRange("maxBytes", maxBytes, 1, Long.MAX_VALUE);
  }

  /**
   * Returns a filter that reserves memory until the response has ended. If the limit would be
   * exceeded, the filter refuses the request as {@link RefusalReason#QUEUE_FULL}.
   *
   * @param maxBodyBytes maximum body size, in bytes
   * @param refusals writes the refusal
   */
  public Handler<RoutingContext> reserve(long maxBodyBytes, RefusalWriter refusals) {
    return ctx -> {
      long bytes = Math.min(maxBodyBytes, declaredLength(ctx.request(), maxBodyBytes));
      if (!tryReserve(bytes)) {
        refusals.write(
            ctx,
            Refusal.of(
                    RefusalReason.QUEUE_FULL,
                    "memory limit for request bodies reached on this entry host")
                .withRetryAfterMillis(RETRY_MILLIS));
        return;
      }
      ctx.addEndHandler(r -> reserved.addAndGet(-bytes));
      ctx.next();
    };
  }

  long reservedBytes() {
    return reserved.get();
  }

  private boolean tryReserve(long bytes) {
    return reserved.getAndUpdate(r -> r + bytes <= maxBytes ? r + bytes : r) + bytes <= maxBytes;
  }

  private static long declaredLength(HttpServerRequest request, long defaultBytes) {
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    try {
      return length == null ? defaultBytes : Long.parseLong(length);
    } catch (NumberFormatException e) {
      return defaultBytes;
    }
  }
}
