package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.Arguments;
import java.nio.file.Path;
import java.util.Optional;

/**
 * PEM files for TLS on one port.
 *
 * @param certificate the certificate chain that this host presents
 * @param key private key of the certificate, in PKCS #8
 * @param authorities certificates of the CAs that sign the remote end's certificate; when present,
 *     the remote end must present a certificate
 * @since 0.1
 */
public record TlsSettings(Path certificate, Path key, Optional<Path> authorities) {
  /**
   * @throws IllegalArgumentException if a value is missing
   */
  public TlsSettings {
    Arguments.checkPresent("certificate", certificate);
    Arguments.checkPresent("key", key);
    Arguments.checkPresent("authorities", authorities);
  }
}
