package io.cactusspring.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.util.EnumMap;
import java.util.Map;

/**
 * Writes refusals as responses and counts them by reason in {@code cactusspring_refusals_total}.
 *
 * @since 0.1
 */
public final class RefusalWriter {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long DISCARD_MILLIS = 2_000;

  private final Map<RefusalReason, Counter> counters = new EnumMap<>(RefusalReason.class);

  public RefusalWriter(MeterRegistry metrics) {
    for (RefusalReason r : RefusalReason.values()) {
      counters.put(
          r,
          Counter.builder("cactusspring.refusals")
              .description("Refused requests by reason")
              .tag("reason", r.wireName())
              .register(metrics));
    }
  }

  /** Ends the response with a refusal, unless it has ended or its connection is closed. */
  public void write(RoutingContext ctx, Refusal refusal) {
    counters.get(refusal.reason()).increment();
    HttpServerResponse response = ctx.response();
    if (response.ended() || response.closed()) {
      return;
    }
    Refusal r = withRequestId(ctx, refusal);
    response.setStatusCode(r.status()).putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
    if (r.retryAfterMillis() != null) {
      response.putHeader("retry-after", Long.toString(toSecondsRoundedUp(r.retryAfterMillis())));
    }
    if (!ctx.request().isEnded()) {
      discardBody(ctx);
    }
    response.end(encode(r));
  }

  /**
   * Reads and discards the rest of the body. Closing the connection at once would reset it, and the
   * client could lose the refusal. The connection is closed if the body has not ended after {@link
   * #DISCARD_MILLIS}.
   */
  private static void discardBody(RoutingContext ctx) {
    HttpServerRequest request = ctx.request();
    Vertx vertx = ctx.vertx();
    long timer = vertx.setTimer(DISCARD_MILLIS, t -> request.connection().close());
    request.exceptionHandler(e -> vertx.cancelTimer(timer));
    request.endHandler(v -> vertx.cancelTimer(timer));
    request.handler(b -> {});
    request.resume();
  }

  /** Counts a refusal whose body has additional fields and is written by its handler. */
  public void count(RefusalReason reason) {
    counters.get(reason).increment();
  }

  private static Refusal withRequestId(RoutingContext ctx, Refusal refusal) {
    return refusal.requestId() == null ? refusal.withRequestId(RequestAttributes.id(ctx)) : refusal;
  }

  private static long toSecondsRoundedUp(long millis) {
    return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }

  private static Buffer encode(Refusal refusal) {
    try {
      return Buffer.buffer(MAPPER.writeValueAsBytes(refusal));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("refusal cannot be written as JSON", e);
    }
  }
}
