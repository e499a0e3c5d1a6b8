package io.cactusspring.daemon.port;

import io.cactusspring.daemon.settings.DaemonSettings;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.lang.ref.WeakReference;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * HTTP server port for callers and operators. It closes connections above the connection limit and
 * connections on which a request is not received completely within the read timeout. TLS is used if
 * it is configured in the settings.
 *
 * <pre>{@code
 * HttpServer server = new CallerPort(vertx, settings, registry).createServer(router);
 * server.listen(settings.callerAddress().port(), settings.callerAddress().host());
 * }</pre>
 *
 * @since 0.1
 */
public final class CallerPort {
  private static final int IDLE_SECONDS = 150;
  private static final String CLOSED = "cactusspring.connections.closed";

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final AtomicInteger openConnections = new AtomicInteger();
  private final Set<HttpConnection> awaitingHeaders = ConcurrentHashMap.newKeySet();
  private final Counter overLimit;
  private final Counter slowSender;

  public CallerPort(Vertx vertx, DaemonSettings settings, MeterRegistry registry) {
    this.vertx = vertx;
    this.settings = settings;
    this.overLimit = registry.counter(CLOSED, "reason", "over-limit");
    this.slowSender = registry.counter(CLOSED, "reason", "slow-sender");
    registry.gauge("cactusspring.connections.open", openConnections);
  }

  /** Creates the server without starting to listen. */
  public HttpServer createServer(Handler<HttpServerRequest> handler) {
    return vertx
        .createHttpServer(options())
        .connectionHandler(this::onConnection)
        .requestHandler(r -> onRequest(r, handler));
  }

  private HttpServerOptions options() {
    HttpServerOptions options =
        new HttpServerOptions()
            .setMaxHeaderSize(settings.maxHeaderBytes())
            .setIdleTimeout(IDLE_SECONDS)
            .setHttp2ClearTextEnabled(false);
    settings
        .callerTls()
        .ifPresent(
            t -> {
              options.setSsl(true).setUseAlpn(false).setKeyCertOptions(TlsFiles.keyCertOptions(t));
              TlsFiles.trustOptions(t)
                  .ifPresent(a -> options.setTrustOptions(a).setClientAuth(TlsFiles.CLIENT_AUTH));
            });
    return options;
  }

  private void onConnection(HttpConnection connection) {
    connection.closeHandler(
        x -> {
          openConnections.decrementAndGet();
          awaitingHeaders.remove(connection);
        });
    if (openConnections.incrementAndGet() > settings.maxConnections()) {
      overLimit.increment();
      connection.close();
      return;
    }
    awaitingHeaders.add(connection);
    vertx.setTimer(settings.readTimeoutMillis(), t -> closeIfAwaitingHeaders(connection));
  }

  /** Closes a connection on which no complete request headers have arrived. */
  private void closeIfAwaitingHeaders(HttpConnection connection) {
    if (awaitingHeaders.remove(connection)) {
      closeSlowSender(connection);
    }
  }

  private void onRequest(HttpServerRequest request, Handler<HttpServerRequest> handler) {
    awaitingHeaders.remove(request.connection());
    // The timer must not retain a completed request and its body until the read timeout. Vert.x
    // holds a strong reference to a request that is still open.
    WeakReference<HttpServerRequest> weak = new WeakReference<>(request);
    vertx.setTimer(settings.readTimeoutMillis(), t -> closeIfIncomplete(weak.get()));
    handler.handle(request);
  }

  /** Closes the connection of a request that has not arrived completely. */
  private void closeIfIncomplete(HttpServerRequest request) {
    if (request != null && !request.isEnded() && !request.response().closed()) {
      closeSlowSender(request.connection());
    }
  }

  private void closeSlowSender(HttpConnection connection) {
    slowSender.increment();
    connection.close();
  }
}
