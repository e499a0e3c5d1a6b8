package io.cactusspring.cli.client;

/**
 * Thrown when a call got no valid response.
 *
 * @since 0.1
 */
public final class ClientException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean possiblySent;

  private ClientException(boolean possiblySent, String message, Throwable cause) {
    super(message, cause);
    this.possiblySent = possiblySent;
  }

  /** Returns the exception for a call that reached no host. */
  static ClientException unreachable(String message, Throwable cause) {
    return new ClientException(false, message, cause);
  }

  /**
   * Returns the exception for a call that a host may have received, but whose response is missing
   * or malformed.
   */
  static ClientException noResponse(String message) {
    return new ClientException(true, message, null);
  }

  static ClientException noResponse(String message, Throwable cause) {
    return new ClientException(true, message, cause);
  }

  /** Returns whether a host may have received the call. */
  public boolean possiblySent() {
    return possiblySent;
  }
}
