package io.cactusspring.daemon.port;

import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.TlsSettings;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemTrustOptions;

/**
 * Options of the connections between entry hosts: with {@code peerTls}, both ends present a
 * certificate that the authorities in the settings have signed.
 *
 * @since 0.1
 */
public final class PeerPort {
  private static final int CONNECT_MILLIS = 1_000;

  private PeerPort() {}

  /** Options of the port on which peers connect. */
  public static NetServerOptions server(DaemonSettings settings) {
    NetServerOptions options = new NetServerOptions().setTcpNoDelay(true);
    settings
        .peerTls()
        .ifPresent(
            t ->
                options
                    .setSsl(true)
                    .setClientAuth(TlsFiles.CLIENT_AUTH)
                    .setKeyCertOptions(TlsFiles.keyCertOptions(t))
                    .setTrustOptions(trustOptions(t)));
    return options;
  }

  /** Options of the connections to peers, whose certificates need not name their addresses. */
  public static NetClientOptions client(DaemonSettings settings) {
    NetClientOptions options =
        new NetClientOptions().setConnectTimeout(CONNECT_MILLIS).setTcpNoDelay(true);
    settings
        .peerTls()
        .ifPresent(
            t ->
                options
                    .setSsl(true)
                    .setHostnameVerificationAlgorithm("")
                    .setKeyCertOptions(TlsFiles.keyCertOptions(t))
                    .setTrustOptions(trustOptions(t)));
    return options;
  }

  private static PemTrustOptions trustOptions(TlsSettings tls) {
    return TlsFiles.trustOptions(tls)
        .orElseThrow(() -> new IllegalArgumentException("peerTls has no authorities"));
  }
}
