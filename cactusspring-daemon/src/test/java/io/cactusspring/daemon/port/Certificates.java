package io.cactusspring.daemon.port;

import io.cactusspring.daemon.settings.TlsSettings;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Creates certificates for tests. */
final class Certificates {
  private Certificates() {}

  static X509Bundle authority(String name) throws Exception {
    return new CertificateBuilder()
        .ecp256()
        .subject("CN=" + name)
        .setIsCertificateAuthority(true)
        .buildSelfSigned();
  }

  static X509Bundle host(X509Bundle authority) throws Exception {
    return new CertificateBuilder()
        .ecp256()
        .subject("CN=riga-a-1")
        .addSanIpAddress("127.0.0.1")
        .buildIssuedBy(authority);
  }

  /** Writes the certificate files of one port into a directory, replacing existing files. */
  static TlsSettings write(Path directory, X509Bundle host, Optional<X509Bundle> authority)
      throws Exception {
    Path certificate = directory.resolve("host.pem");
    Path key = directory.resolve("host.key");
    Files.writeString(certificate, host.getCertificatePathPEM());
    Files.writeString(key, host.getPrivateKeyPEM());
    Optional<Path> authorities = authority.map(a -> directory.resolve("authorities.pem"));
    if (authority.isPresent()) {
      Files.writeString(authorities.get(), authority.get().getCertificatePEM());
    }
    return new TlsSettings(certificate, key, authorities);
  }
}
