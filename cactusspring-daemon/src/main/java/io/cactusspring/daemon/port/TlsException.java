package io.cactusspring.daemon.port;

/**
 * Thrown when a certificate or private key cannot be read or used.
 *
 * @since 0.1
 */
public final class TlsException extends Exception {
  private static final long serialVersionUID = 1L;

  TlsException(String message, Throwable cause) {
    super(message, cause);
  }
}
