package io.cactusspring.core.security;

/**
 * Tells that a presented key admits nothing.
 *
 * @since 0.1
 */
public final class AuthenticationException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why a key was turned down. */
  public enum Reason {
    /** The text is not of the form {@code NAME.SECRET}. */
    MALFORMED_KEY,
    /** No key of that name and secret is in force. */
    UNKNOWN_KEY
  }

  private final Reason reason;

  AuthenticationException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  public Reason reason() {
    return reason;
  }
}
