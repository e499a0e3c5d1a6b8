package io.cactusspring.daemon.http;

import io.cactusspring.core.model.Arguments;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory that bodies of open requests take. A request reserves the length that it
 * declares, or the longest allowed, before its body is read. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class BodyMemory {
  private static final long RETRY_MILLIS = 250;

  private final long maxBytes;
  private final AtomicLong reserved = new AtomicLong();

  /**
   * @throws IllegalArgumentException if the bound is not positive
   */
  public BodyMemory(long maxBytes) {
    this.maxBytes = Arguments.checkRange("maxBytes", maxBytes, 1, Long.MAX_VALUE);
  }

  /**
   * Returns a filter that reserves memory until the answer has ended, or refuses.
   *
   * @param maxBodyBytes bytes that a body may have
   */
  public Handler<RoutingContext> reserve(long maxBodyBytes, RefusalWriter refusals) {
    return ctx -> {
      long bytes = Math.min(maxBodyBytes, declaredLength(ctx.request(), maxBodyBytes));
      if (!tryReserve(bytes)) {
        refusals.write(
            ctx,
            Refusal.of(RefusalReason.QUEUE_FULL, "too many bodies are held on this entry host")
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
