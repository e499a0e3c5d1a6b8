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
 * An HTTP server whose bodies are typed JSON.
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
  /** The largest body that a stand-in takes, in bytes. */
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

  /** A call with a typed body, answered by the handler itself. */
  @FunctionalInterface
  public interface TypedBodyHandler<T> {
    void handle(RoutingContext context, T body);
  }

  /** Answers {@code GET path} with the value supplied. */
  public void get(String path, Supplier<?> supplier) {
    router.get(path).handler(context -> respond(context, HttpStatus.OK, supplier.get()));
  }

  /** Takes {@code POST path} with a body of the type; malformed ones are answered 400. */
  public <T> void post(String path, Class<T> type, TypedBodyHandler<T> handler) {
    router.post(path).handler(context -> handle(context, type, handler));
  }

  /** Takes {@code POST path} with a body of the type and answers 200 with the value returned. */
  public <T> void postForResult(String path, Class<T> type, Function<T, ?> function) {
    post(path, type, (context, body) -> respond(context, HttpStatus.OK, function.apply(body)));
  }

  /** Takes a call whose body is opaque. */
  public void handle(HttpMethod method, String path, Handler<RoutingContext> handler) {
    router.route(method, path).handler(context -> guard(context, handler));
  }

  /** Sets what is told of each connection accepted. */
  public void onConnection(Handler<HttpConnection> handler) {
    server.connectionHandler(handler);
  }

  /**
   * Starts to listen.
   *
   * @return the port listened on
   * @throws StandInException if the address can't be used
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
      throw new StandInException("interrupted before listening on " + address, e);
    }
  }

  @Override
  public void close() {
    var unused = server.close();
  }

  /** Answers a call with JSON, unless its connection is gone. */
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
      respond(context, HttpStatus.BAD_REQUEST, new ErrorResponse(e.getMessage()));
    }
  }

  private static <T> void handle(
      RoutingContext context, Class<T> type, TypedBodyHandler<T> handler) {
    try {
      handler.handle(context, Json.read(context.body().asString(), type));
    } catch (StandInException | IllegalArgumentException e) {
      respond(context, HttpStatus.BAD_REQUEST, new ErrorResponse(e.getMessage()));
    }
  }
}
