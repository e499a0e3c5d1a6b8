package io.cactusspring.protocol;

/**
 * A frame that is not a message of this protocol.
 *
 * @since 0.1
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  public ProtocolException(String message, Throwable cause) {
    super(message, cause);
  }
}
