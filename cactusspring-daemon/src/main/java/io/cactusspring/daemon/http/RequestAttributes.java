package io.cactusspring.daemon.http;

import io.cactusspring.core.security.Identity;
import io.vertx.ext.web.RoutingContext;

/**
 * Typed access to the attributes that the filters set on a request's routing context.
 *
 * @since 0.1
 */
public final class RequestAttributes {
  private static final String ID = "cactusspring.requestId";
  private static final String ARRIVAL = "cactusspring.arrivalNanos";
  private static final String IDENTITY = "cactusspring.identity";

  private RequestAttributes() {}

  /** Id of the request; null until {@link Filters#requestId} has run. */
  public static String id(RoutingContext ctx) {
    return ctx.get(ID);
  }

  /** Caller of the request; anonymous until {@link Filters#authenticated} has run. */
  public static Identity identity(RoutingContext ctx) {
    Identity i = ctx.get(IDENTITY);
    return i == null ? new Identity.Anonymous() : i;
  }

  /**
   * Monotonic time at which the request's headers were read, in nanoseconds; the current time if
   * the filter has not recorded it.
   */
  public static long arrivalNanos(RoutingContext ctx) {
    Long nanos = ctx.get(ARRIVAL);
    return nanos == null ? System.nanoTime() : nanos;
  }

  static void setArrivalNanos(RoutingContext ctx, long nanos) {
    ctx.put(ARRIVAL, nanos);
  }

  static void setId(RoutingContext ctx, String id) {
    ctx.put(ID, id);
  }

  static void setIdentity(RoutingContext ctx, Identity identity) {
    ctx.put(IDENTITY, identity);
  }
}
