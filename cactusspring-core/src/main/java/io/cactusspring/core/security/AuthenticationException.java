package io.cactusspring.core.security;

/**
 * Thrown if a presented key is rejected.
 *
 * @since 0.1
 */
public final class AuthenticationException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Reason why a key was rejected. */
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
