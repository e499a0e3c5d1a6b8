package io.cactusspring.daemon.port;

import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.TlsSettings;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemTrustOptions;

/**
 * Creates the options of the connections between entry hosts. If {@code peerTls} is configured,
 * both ends present a certificate that is signed by one of the configured authorities.
 *
 * @since 0.1
 */
public final class PeerConnectionOptions {
  private static final int CONNECT_MILLIS = 1_000;

  private PeerConnectionOptions() {}

  /** Returns the options of the server socket to which peers connect. */
  public static NetServerOptions serverOptions(DaemonSettings settings) {
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

  /**
   * Returns the options of outgoing connections to peers. Hostname verification is disabled,
   * because the certificate of a peer need not contain its address.
   */
  public static NetClientOptions clientOptions(DaemonSettings settings) {
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
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "peerTls has no authorities; expected a file of CA certificates"));
  }
}
