package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.Arguments;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Files in PEM of one TLS port.
 *
 * @param certificate the certificate chain that this host presents
 * @param key its private key in PKCS #8
 * @param authorities certificates of those who sign the other end's certificate; when present, the
 *     other end must present one
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
