package io.cactusspring.daemon.http;

import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.request.ExecutionStatus;
import io.cactusspring.core.security.AuthenticationException;
import io.cactusspring.core.security.Authenticator;
import io.cactusspring.core.security.Identity;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpHeaders;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * Creates the filters that are mounted before the handlers, in this order: request id, readiness,
 * authentication, authorization, content type, body.
 *
 * <pre>{@code
 * router.route("/v1/*").handler(filters.requestId()).failureHandler(filters.failures());
 * router.post("/v1/notes")
 *     .handler(filters.authenticated())
 *     .handler(filters.operatorOnly())
 *     .handler(filters.json())
 *     .handler(filters.body(Filters.MAX_NOTE_BYTES))
 *     .handler(this::acceptNote);
 * }</pre>
 *
 * @since 0.1
 */
public final class Filters {
  public static final long MAX_REQUEST_BYTES = 1 << 20;
  public static final long MAX_NOTE_BYTES = 1 << 20;
  public static final String REQUEST_ID_HEADER = "x-request-id";

  private static final System.Logger LOG = System.getLogger(Filters.class.getName());
  private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:#@/-]{1,128}");
  private static final String BEARER = "Bearer ";
  private static final String JSON = "application/json";
  private static final int PAYLOAD_TOO_LARGE = 413;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final long NOT_READY_RETRY_MILLIS = 1_000;

  private final CellView cell;
  private final RefusalWriter refusals;

  public Filters(CellView cell, RefusalWriter refusals) {
    this.cell = cell;
    this.refusals = refusals;
  }

  /**
   * Sets the request id on the request and the response. The id is taken from the {@value
   * #REQUEST_ID_HEADER} header, or generated if the header is missing.
   */
  public Handler<RoutingContext> requestId() {
    return ctx -> {
      RequestAttributes.setArrivalNanos(ctx, System.nanoTime());
      String given = ctx.request().getHeader(REQUEST_ID_HEADER);
      String id = given == null ? UUID.randomUUID().toString() : given;
      if (!REQUEST_ID.matcher(id).matches()) {
        refuse(
            ctx,
            RefusalReason.BAD_HEADER,
            REQUEST_ID_HEADER + " is malformed; expected 1 to 128 of letters, digits and ._:#@/-");
        return;
      }
      RequestAttributes.setId(ctx, id);
      ctx.response().putHeader(REQUEST_ID_HEADER, id);
      ctx.next();
    };
  }

  /** Refuses requests until the configuration is loaded, and during shutdown. */
  public Handler<RoutingContext> ready() {
    return ctx -> {
      if (cell.draining()) {
        refuseWithRetry(ctx, RefusalReason.DRAINING, "this entry host is shutting down");
      } else if (!cell.ready()) {
        refuseWithRetry(ctx, RefusalReason.NOT_READY, "this entry host is starting");
      } else {
        ctx.next();
      }
    };
  }

  /** Authenticates the caller. A request without a key is treated as anonymous. */
  public Handler<RoutingContext> authenticated() {
    return ctx -> {
      try {
        RequestAttributes.setIdentity(ctx, authenticate(ctx));
      } catch (AuthenticationException e) {
        refuse(ctx, RefusalReason.UNKNOWN_KEY, e.getMessage());
        return;
      }
      ctx.next();
    };
  }

  /** Refuses callers other than operators. */
  public Handler<RoutingContext> operatorOnly() {
    return ctx -> {
      switch (RequestAttributes.identity(ctx)) {
        case Identity.OperatorIdentity o -> ctx.next();
        case Identity.TeamIdentity t ->
            refuse(ctx, RefusalReason.NOT_AN_OPERATOR, "key " + t.key() + " is a team's key");
        case Identity.Anonymous a ->
            refuse(ctx, RefusalReason.MISSING_KEY, "this call needs an operator's key");
      }
    };
  }

  /**
   * Refuses operators. Callers without a key pass this filter, because the handler checks whether
   * the queue that they name is open.
   */
  public Handler<RoutingContext> teamOnly() {
    return ctx -> {
      if (RequestAttributes.identity(ctx) instanceof Identity.OperatorIdentity o) {
        refuse(ctx, RefusalReason.NOT_YOUR_TEAM, "key " + o.key() + " is an operator's key");
        return;
      }
      ctx.next();
    };
  }

  /** Refuses requests whose content type is not JSON. */
  public Handler<RoutingContext> json() {
    return ctx -> {
      String type = ctx.request().getHeader(HttpHeaders.CONTENT_TYPE);
      if (type == null || !isJson(type)) {
        refuse(ctx, RefusalReason.CONTENT_TYPE, "content-type is " + type + "; expected " + JSON);
        return;
      }
      ctx.next();
    };
  }

  /** Reads the complete body into memory, up to the given number of bytes. */
  public Handler<RoutingContext> body(long maxBytes) {
    BodyHandler reader = BodyHandler.create(false).setBodyLimit(maxBytes);
    // Vert.x Web requires a BodyHandler to precede other handlers. Passing a method reference
    // avoids that check, so that the body is read only after the caller is authenticated.
    return reader::handle;
  }

  /** Converts failures of filters and handlers into refusals. */
  public Handler<RoutingContext> failures() {
    return ctx -> {
      if (ctx.response().closed()) {
        return; // The caller has disconnected, so no response can be sent.
      }
      switch (ctx.statusCode()) {
        case PAYLOAD_TOO_LARGE ->
            refuse(ctx, RefusalReason.BODY_TOO_LARGE, "body exceeds the size limit of this call");
        case NOT_FOUND, METHOD_NOT_ALLOWED ->
            refuse(ctx, RefusalReason.NOT_FOUND, "no such call: " + ctx.request().path());
        default -> refuseFailedRequest(ctx);
      }
    };
  }

  private void refuseFailedRequest(RoutingContext ctx) {
    if (ctx.failure() == null) {
      refuse(ctx, RefusalReason.MALFORMED_BODY, "request is malformed");
      return;
    }
    LOG.log(Level.ERROR, "Handler of " + ctx.request().path() + " failed", ctx.failure());
    refusals.write(
        ctx,
        Refusal.of(RefusalReason.ENDPOINT_FAILED, "internal error")
            .withRan(ExecutionStatus.UNKNOWN));
  }

  private Identity authenticate(RoutingContext ctx) throws AuthenticationException {
    Optional<ConfigItem.Key> bootstrap = cell.bootstrapKey();
    return new Authenticator(bootstrap).authenticate(cell.configuration(), bearerToken(ctx));
  }

  private static Optional<String> bearerToken(RoutingContext ctx) {
    return Optional.ofNullable(ctx.request().getHeader(HttpHeaders.AUTHORIZATION))
        .map(
            h ->
                h.regionMatches(true, 0, BEARER, 0, BEARER.length())
                    ? h.substring(BEARER.length()).trim()
                    : "");
  }

  private static boolean isJson(String contentType) {
    int end = contentType.indexOf(';');
    String type = end < 0 ? contentType : contentType.substring(0, end);
    return type.trim().equalsIgnoreCase(JSON);
  }

  private void refuse(RoutingContext ctx, RefusalReason reason, String message) {
    refusals.write(ctx, Refusal.of(reason, message));
  }

  private void refuseWithRetry(RoutingContext ctx, RefusalReason reason, String message) {
    refusals.write(ctx, Refusal.of(reason, message).withRetryAfterMillis(NOT_READY_RETRY_MILLIS));
  }
}
