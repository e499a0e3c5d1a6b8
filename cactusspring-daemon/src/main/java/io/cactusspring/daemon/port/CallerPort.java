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
 * The port for callers and operators: closes connections over the limit and those of senders that
 * take too long, and uses TLS where the settings say so.
 *
 * <pre>{@code
 * HttpServer server = new CallerPort(vertx, settings, registry).server(router);
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
  private final AtomicInteger open = new AtomicInteger();
  private final Set<HttpConnection> silent = ConcurrentHashMap.newKeySet();
  private final Counter overLimit;
  private final Counter slow;

  public CallerPort(Vertx vertx, DaemonSettings settings, MeterRegistry registry) {
    this.vertx = vertx;
    this.settings = settings;
    this.overLimit = registry.counter(CLOSED, "reason", "over-limit");
    this.slow = registry.counter(CLOSED, "reason", "slow-sender");
    registry.gauge("cactusspring.connections.open", open);
  }

  /** Creates the server, which does not listen yet. */
  public HttpServer server(Handler<HttpServerRequest> handler) {
    return vertx
        .createHttpServer(options())
        .connectionHandler(this::connected)
        .requestHandler(r -> received(r, handler));
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
              options.setSsl(true).setUseAlpn(false).setKeyCertOptions(TlsFiles.keyCert(t));
              TlsFiles.trust(t)
                  .ifPresent(a -> options.setTrustOptions(a).setClientAuth(TlsFiles.CLIENT_AUTH));
            });
    return options;
  }

  private void connected(HttpConnection connection) {
    connection.closeHandler(
        x -> {
          open.decrementAndGet();
          silent.remove(connection);
        });
    if (open.incrementAndGet() > settings.maxConnections()) {
      overLimit.increment();
      connection.close();
      return;
    }
    silent.add(connection);
    vertx.setTimer(settings.readTimeoutMillis(), t -> closeSilent(connection));
  }

  /** Closes a connection on which no request's headers have arrived whole. */
  private void closeSilent(HttpConnection connection) {
    if (silent.remove(connection)) {
      closeSlow(connection);
    }
  }

  private void received(HttpServerRequest request, Handler<HttpServerRequest> handler) {
    silent.remove(request.connection());
    // The timer must not keep an answered request and its body; an open one is kept elsewhere.
    WeakReference<HttpServerRequest> weak = new WeakReference<>(request);
    vertx.setTimer(settings.readTimeoutMillis(), t -> closeUnread(weak.get()));
    handler.handle(request);
  }

  /** Closes the connection of a request that has not arrived whole. */
  private void closeUnread(HttpServerRequest request) {
    if (request != null && !request.isEnded() && !request.response().closed()) {
      closeSlow(request.connection());
    }
  }

  private void closeSlow(HttpConnection connection) {
    slow.increment();
    connection.close();
  }
}
