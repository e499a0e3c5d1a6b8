package io.cactusspring.protocol;

/**
 * Thrown when a frame cannot be decoded as a {@link io.cactusspring.protocol.gen.PeerMessage}.
 *
 * @since 0.1
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  public ProtocolException(String message, Throwable cause) {
    super(message, cause);
  }
}
