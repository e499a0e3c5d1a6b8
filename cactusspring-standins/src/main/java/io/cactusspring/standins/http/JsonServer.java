package io.cactusspring.standins.http;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * An HTTP server with typed JSON request and response bodies.
 *
 * <pre>{@code
 * JsonServer server = new JsonServer(vertx);
 * server.get("/admin/stats", this::stats);
 * int port = server.listen(ListenAddress.parse("127.0.0.1:0"));
 * }</pre>
 *
 * @since 0.1
 */
public final class JsonServer implements AutoCloseable {
  /** The maximum size of a request body, in bytes. */
  public static final int MAX_BODY_BYTES = 8 << 20;

  private static final int BACKLOG = 1024;

  private final HttpServer server;
  private final Router router;

  public JsonServer(Vertx vertx) {
    HttpServerOptions options =
        new HttpServerOptions().setAcceptBacklog(BACKLOG).setTcpNoDelay(true);
    server = vertx.createHttpServer(options);
    router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
  }

  /** Handles a request with a typed body and sends the response itself. */
  @FunctionalInterface
  public interface TypedBodyHandler<T> {
    void handle(RoutingContext context, T body);
  }

  /** Adds a {@code GET} route that responds with the supplied value. */
  public void get(String path, Supplier<?> supplier) {
    router.get(path).handler(context -> respond(context, HttpStatus.OK, supplier.get()));
  }

  /** Adds a {@code POST} route with a typed body; responds with 400 if the body is malformed. */
  public <T> void post(String path, Class<T> type, TypedBodyHandler<T> handler) {
    router.post(path).handler(context -> handle(context, type, handler));
  }

  /** Adds a {@code POST} route with a typed body; responds with 200 and the function's result. */
  public <T> void postForResult(String path, Class<T> type, Function<T, ?> function) {
    post(path, type, (context, body) -> respond(context, HttpStatus.OK, function.apply(body)));
  }

  /** Adds a route whose request body is not parsed. */
  public void handle(HttpMethod method, String path, Handler<RoutingContext> handler) {
    router.route(method, path).handler(context -> guard(context, handler));
  }

  /** Sets the handler called for each accepted connection. */
  public void onConnection(Handler<HttpConnection> handler) {
    server.connectionHandler(handler);
  }

  /**
   * Starts the server.
   *
   * @return the port listened on
   * @throws StandInException if the server cannot listen on the address
   */
  public int listen(ListenAddress address) throws StandInException {
    try {
      return server
          .requestHandler(router)
          .listen(address.port(), address.host())
          .toCompletionStage()
          .toCompletableFuture()
          .get()
          .actualPort();
    } catch (ExecutionException e) {
      throw new StandInException("cannot listen on " + address, e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StandInException("interrupted while starting to listen on " + address, e);
    }
  }

  @Override
  public void close() {
    var unused = server.close();
  }

  /** Sends a JSON response unless one has been sent already or the connection is closed. */
  public static void respond(RoutingContext context, int status, Object body) {
    if (context.response().ended() || context.response().closed()) {
      return;
    }
    var unused =
        context
            .response()
            .setStatusCode(status)
            .putHeader("content-type", "application/json")
            .end(Json.write(body));
  }

  private static void guard(RoutingContext context, Handler<RoutingContext> handler) {
    try {
      handler.handle(context);
    } catch (IllegalArgumentException e) {
      respond(context, HttpStatus.BAD_REQUEST, new ErrorBody(e.getMessage()));
    }
  }

  private static <T> void handle(
      RoutingContext context, Class<T> type, TypedBodyHandler<T> handler) {
    try {
      handler.handle(context, Json.read(context.body().asString(), type));
    } catch (StandInException | IllegalArgumentException e) {
      respond(context, HttpStatus.BAD_REQUEST, new ErrorBody(e.getMessage()));
    }
  }
}
