package io.cactusspring.cli;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/** An HTTP server that returns configured responses and records the requests. */
final class FakeEntryHost implements AutoCloseable {
  private static final int DISCONNECT = 0;

  /** A configured response; those to one request line follow in order, the last one repeats. */
  record CannedResponse(int status, String body) {}

  /** A received request. */
  record Received(String line, Map<String, String> headers, String body) {}

  private final Vertx vertx = Vertx.vertx();
  private final Map<String, Queue<CannedResponse>> responses = new ConcurrentHashMap<>();
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private final HttpServer server;

  FakeEntryHost() {
    server =
        vertx
            .createHttpServer()
            .requestHandler(r -> r.body().onSuccess(body -> handle(r, body)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
  }

  String url() {
    return "http://127.0.0.1:" + server.actualPort();
  }

  FakeEntryHost on(String line, int status, String body) {
    responses
        .computeIfAbsent(line, l -> new ConcurrentLinkedQueue<>())
        .add(new CannedResponse(status, body));
    return this;
  }

  /** Closes the connection instead of responding. */
  FakeEntryHost closeConnectionOn(String line) {
    return on(line, DISCONNECT, "");
  }

  List<Received> received() {
    return new ArrayList<>(received);
  }

  private void handle(HttpServerRequest request, Buffer body) {
    String line = request.method() + " " + request.path();
    Map<String, String> headers = new ConcurrentHashMap<>();
    request.headers().forEach(e -> headers.put(e.getKey().toLowerCase(Locale.ROOT), e.getValue()));
    received.add(new Received(line, headers, body.toString()));
    CannedResponse response = next(line);
    if (response.status() == DISCONNECT) {
      request.connection().close();
    } else {
      request
          .response()
          .setStatusCode(response.status())
          .putHeader("x-request-id", headers.getOrDefault("x-request-id", ""))
          .putHeader("x-executor", "x1")
          .putHeader("x-attempts", "1")
          .end(response.body());
    }
  }

  private CannedResponse next(String line) {
    Queue<CannedResponse> queue = responses.get(line);
    if (queue == null) {
      return new CannedResponse(404, "{\"reason\":\"not-found\",\"ran\":\"NO\"}");
    }
    return queue.size() > 1 ? queue.poll() : queue.peek();
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
