package io.cactusspring.daemon.port;

import io.cactusspring.daemon.settings.TlsSettings;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import java.util.Optional;

/** Converts the file paths of one TLS port to options. The files are read when the port opens. */
final class TlsFiles {
  static final ClientAuth CLIENT_AUTH = ClientAuth.REQUIRED;

  private TlsFiles() {}

  static PemKeyCertOptions keyCertOptions(TlsSettings tls) {
    return new PemKeyCertOptions()
        .setCertPath(tls.certificate().toString())
        .setKeyPath(tls.key().toString());
  }

  static Optional<PemTrustOptions> trustOptions(TlsSettings tls) {
    return tls.authorities().map(f -> new PemTrustOptions().addCertPath(f.toString()));
  }
}
