package io.cactusspring.daemon.port;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.SettingsField;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerPortTest {
  private static final long WAIT_SECONDS = 20;
  private static final int END_OF_STREAM = -1;
  private static final String REQUEST_HEAD = "GET / HTTP/1.1\r\nhost: h\r\n";

  private final Vertx vertx = Vertx.vertx();

  /** A field, because Vert.x closes a client that has become unreachable. */
  private final NetClient client = vertx.createNetClient();

  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  @Test
  void connectionAboveTheLimitIsClosedAndCounted() throws Exception {
    int port = listen(PortSettings.builder().number(SettingsField.MAX_CONNECTIONS, 8).build());
    for (int i = 0; i < 8; i++) {
      assertThat(response(connect(port), REQUEST_HEAD + "\r\n")).startsWith("HTTP/1.1 200");
    }
    try (Socket rejected = new Socket("127.0.0.1", port)) {
      rejected.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
      assertThat(rejected.getInputStream().read()).isEqualTo(END_OF_STREAM);
    }
    assertThat(closed("over-limit")).isEqualTo(1);
  }

  @Test
  void connectionWithIncompleteHeadersIsClosedAfterReadTimeout() throws Exception {
    int port = listen(shortReadTimeout());
    NetSocket socket = connect(port);
    Future<Void> closed = closed(socket);
    socket.write(REQUEST_HEAD);
    await(closed);
    assertThat(closed("slow-sender")).isEqualTo(1);
  }

  @Test
  void connectionWithIncompleteBodyIsClosedAfterReadTimeout() throws Exception {
    int port = listen(shortReadTimeout());
    NetSocket socket = connect(port);
    Future<Void> closed = closed(socket);
    socket.write("POST /wait HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nabc");
    await(closed);
    assertThat(closed("slow-sender")).isEqualTo(1);
  }

  @Test
  void connectionAwaitingSlowResponseIsNotClosed() throws Exception {
    int port = listen(shortReadTimeout());
    String request = "POST /late HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc";
    assertThat(response(connect(port), request)).startsWith("HTTP/1.1 200");
    assertThat(closed("slow-sender")).isEqualTo(0);
  }

  @Test
  void headersAboveTheLimitAreRefused() throws Exception {
    int port = listen(PortSettings.builder().number(SettingsField.MAX_HEADER_BYTES, 1_024).build());
    String large = "x-large: " + "a".repeat(2_000) + "\r\n\r\n";
    assertThat(response(connect(port), REQUEST_HEAD + large)).startsWith("HTTP/1.1 431");
  }

  private static DaemonSettings shortReadTimeout() {
    return PortSettings.builder().number(SettingsField.READ_TIMEOUT_MILLIS, 100).build();
  }

  /**
   * Starts a server. It responds after four read timeouts to {@code /late}, when the body has
   * arrived to {@code /wait}, and at once to other paths.
   */
  private int listen(DaemonSettings settings) throws Exception {
    HttpServer server =
        new CallerPort(vertx, settings, registry)
            .createServer(
                r -> {
                  switch (r.path()) {
                    case "/late" ->
                        vertx.setTimer(4 * settings.readTimeoutMillis(), t -> r.response().end());
                    case "/wait" -> r.body().onSuccess(b -> r.response().end());
                    default -> r.response().end();
                  }
                });
    return await(server.listen(0, "127.0.0.1")).actualPort();
  }

  private NetSocket connect(int port) throws Exception {
    return await(client.connect(port, "127.0.0.1"));
  }

  private static String response(NetSocket socket, String request) throws Exception {
    Promise<String> response = Promise.promise();
    socket.handler(b -> response.tryComplete(b.toString()));
    socket.write(request);
    return await(response.future());
  }

  private static Future<Void> closed(NetSocket socket) {
    Promise<Void> closed = Promise.promise();
    socket.closeHandler(x -> closed.tryComplete());
    return closed.future();
  }

  private double closed(String reason) {
    return registry.get("cactusspring.connections.closed").tag("reason", reason).counter().count();
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
