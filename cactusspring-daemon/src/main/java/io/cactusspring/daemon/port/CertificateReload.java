package io.cactusspring.daemon.port;

import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.cactusspring.daemon.settings.TlsSettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.ClientSSLOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.ServerSSLOptions;
import java.util.Optional;
import java.util.function.Function;

/**
 * Takes replaced certificate files into use without a restart. Open connections keep the old
 * certificate; files that do not fit together are left until they do.
 *
 * <pre>{@code
 * CertificateReload reload = CertificateReload.ofCallers(vertx, tls, server);
 * reload.start();
 * }</pre>
 *
 * @since 0.1
 */
public final class CertificateReload {
  private static final EventLog LOG = EventLog.of(CertificateReload.class);
  private static final long CHECK_MILLIS = 5_000;

  private final Vertx vertx;
  private final String port;
  private final TlsSettings tls;
  private final Function<TlsContent, Future<?>> update;
  private Optional<TlsContent> seen = Optional.empty();

  private CertificateReload(
      Vertx vertx, String port, TlsSettings tls, Function<TlsContent, Future<?>> update) {
    this.vertx = vertx;
    this.port = port;
    this.tls = tls;
    this.update = update;
  }

  /** For the port of callers. */
  public static CertificateReload ofCallers(Vertx vertx, TlsSettings tls, HttpServer server) {
    return new CertificateReload(
        vertx, "caller", tls, c -> server.updateSSLOptions(serverOptions(c)));
  }

  /** For the port of peers and the connections to them. */
  public static CertificateReload ofPeers(
      Vertx vertx, TlsSettings tls, NetServer server, NetClient client) {
    return new CertificateReload(
        vertx,
        "peer",
        tls,
        c ->
            server
                .updateSSLOptions(serverOptions(c))
                .compose(x -> client.updateSSLOptions(clientOptions(c))));
  }

  private static ServerSSLOptions serverOptions(TlsContent content) {
    ServerSSLOptions options = content.on(new ServerSSLOptions());
    return content.authorities().isPresent()
        ? options.setClientAuth(TlsFiles.CLIENT_AUTH)
        : options;
  }

  private static ClientSSLOptions clientOptions(TlsContent content) {
    return content.on(new ClientSSLOptions().setHostnameVerificationAlgorithm(""));
  }

  /** Starts to look at the files at intervals. */
  public void start() {
    check();
    vertx.setPeriodic(CHECK_MILLIS, t -> check());
  }

  /** Looks at the files once; completes with whether new ones were taken into use. */
  Future<Boolean> check() {
    return vertx
        .executeBlocking(() -> TlsContent.read(tls))
        .compose(this::checked)
        .onFailure(e -> LOG.event(Event.CERTIFICATE_REFUSED, port, e.getMessage()))
        .otherwise(false);
  }

  private Future<Boolean> checked(TlsContent content) {
    Optional<TlsContent> before = seen;
    if (before.equals(Optional.of(content))) {
      return Future.succeededFuture(false);
    }
    seen = Optional.of(content);
    if (before.isEmpty()) {
      return Future.succeededFuture(false);
    }
    return vertx
        .executeBlocking(
            () -> {
              content.check();
              return content;
            })
        .compose(update::apply)
        .map(
            x -> {
              LOG.event(Event.CERTIFICATE_RELOADED, port);
              return true;
            });
  }
}
