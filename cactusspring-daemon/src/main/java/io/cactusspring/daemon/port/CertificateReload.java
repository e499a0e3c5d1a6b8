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
 * Reloads replaced certificate files without a restart. Open connections keep the old certificate.
 * A certificate that does not match its key is not loaded until one of the files changes again.
 *
 * <pre>{@code
 * CertificateReload reload = CertificateReload.forCallers(vertx, tls, server);
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
  private final Function<TlsMaterial, Future<?>> update;
  private Optional<TlsMaterial> lastMaterial = Optional.empty();

  private CertificateReload(
      Vertx vertx, String port, TlsSettings tls, Function<TlsMaterial, Future<?>> update) {
    this.vertx = vertx;
    this.port = port;
    this.tls = tls;
    this.update = update;
  }

  /** Creates a reloader for the caller port. */
  public static CertificateReload forCallers(Vertx vertx, TlsSettings tls, HttpServer server) {
    return new CertificateReload(
        vertx, "caller", tls, m -> server.updateSSLOptions(serverOptions(m)));
  }

  /** Creates a reloader for the peer port and the outgoing connections to peers. */
  public static CertificateReload forPeers(
      Vertx vertx, TlsSettings tls, NetServer server, NetClient client) {
    return new CertificateReload(
        vertx,
        "peer",
        tls,
        m ->
            server
                .updateSSLOptions(serverOptions(m))
                .compose(x -> client.updateSSLOptions(clientOptions(m))));
  }

  private static ServerSSLOptions serverOptions(TlsMaterial material) {
    ServerSSLOptions options = material.applyTo(new ServerSSLOptions());
    return material.authorities().isPresent()
        ? options.setClientAuth(TlsFiles.CLIENT_AUTH)
        : options;
  }

  private static ClientSSLOptions clientOptions(TlsMaterial material) {
    return material.applyTo(new ClientSSLOptions().setHostnameVerificationAlgorithm(""));
  }

  /** Starts to check the files periodically. */
  public void start() {
    check();
    vertx.setPeriodic(CHECK_MILLIS, t -> check());
  }

  /**
   * Checks the files once. The future completes with true if changed files were loaded; it does not
   * fail.
   */
  Future<Boolean> check() {
    return vertx
        .executeBlocking(() -> TlsMaterial.read(tls))
        .compose(this::reloadIfChanged)
        .onFailure(e -> LOG.event(Event.CERTIFICATE_REFUSED, port, e.getMessage()))
        .otherwise(false);
  }

  private Future<Boolean> reloadIfChanged(TlsMaterial material) {
    Optional<TlsMaterial> previous = lastMaterial;
    if (previous.equals(Optional.of(material))) {
      return Future.succeededFuture(false);
    }
    lastMaterial = Optional.of(material);
    if (previous.isEmpty()) {
      return Future.succeededFuture(false);
    }
    return vertx
        .executeBlocking(
            () -> {
              material.checkKeyPair();
              return material;
            })
        .compose(update::apply)
        .map(
            x -> {
              LOG.event(Event.CERTIFICATE_RELOADED, port);
              return true;
            });
  }
}
