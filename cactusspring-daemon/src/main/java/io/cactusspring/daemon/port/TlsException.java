package io.cactusspring.daemon.port;

/**
 * Certificates or keys cannot be used.
 *
 * @since 0.1
 */
public final class TlsException extends Exception {
  private static final long serialVersionUID = 1L;

  TlsException(String message, Throwable cause) {
    super(message, cause);
  }
}
