package io.cactusspring.daemon.request;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Executor whose handling of requests is set by a test. */
final class FakeExecutor {
  final List<String> receivedRequestIds = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();
  private final HttpServer server;
  private volatile Handler<HttpServerRequest> behaviour = FakeExecutor::echo;

  FakeExecutor(Vertx vertx) throws Exception {
    server =
        vertx
            .createHttpServer()
            .connectionHandler(this::connected)
            .requestHandler(this::handle)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
  }

  int port() {
    return server.actualPort();
  }

  FakeExecutor setBehaviour(Handler<HttpServerRequest> value) {
    behaviour = value;
    return this;
  }

  static void echo(HttpServerRequest request) {
    request
        .body()
        .onSuccess(
            b ->
                request
                    .response()
                    .putHeader("x-request-id", request.getHeader("x-request-id"))
                    .end(b));
  }

  static void echoAfterMillis(Vertx vertx, HttpServerRequest request, long millis) {
    request.pause();
    vertx.setTimer(
        millis,
        t -> {
          echo(request);
          request.resume();
        });
  }

  static void notRun(HttpServerRequest request) {
    request.response().setStatusCode(503).putHeader("x-not-run", "true").end();
  }

  static void neverAnswer(HttpServerRequest request) {}

  static void fail(HttpServerRequest request) {
    request.response().setStatusCode(500).end();
  }

  private void connected(HttpConnection connection) {
    connections.incrementAndGet();
    connection.closeHandler(v -> connections.decrementAndGet());
  }

  private void handle(HttpServerRequest request) {
    receivedRequestIds.add(request.getHeader("x-request-id"));
    behaviour.handle(request);
  }
}
