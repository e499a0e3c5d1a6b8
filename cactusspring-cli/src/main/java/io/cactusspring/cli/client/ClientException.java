package io.cactusspring.cli.client;

/**
 * A call got no answer.
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

  /** The call reached no host. */
  static ClientException unreachable(String message, Throwable cause) {
    return new ClientException(false, message, cause);
  }

  /** A host may have received the call, but its answer is missing or malformed. */
  static ClientException noResponse(String message) {
    return new ClientException(true, message, null);
  }

  static ClientException noResponse(String message, Throwable cause) {
    return new ClientException(true, message, cause);
  }

  /** Whether a host may have received the call. */
  public boolean possiblySent() {
    return possiblySent;
  }
}
