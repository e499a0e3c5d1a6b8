package io.cactusspring.daemon.platform;

/**
 * Thrown when a call to the platform has no usable response. Whether the call took effect is
 * unknown.
 *
 * @since 0.1
 */
public final class PlatformException extends Exception {
  private static final long serialVersionUID = 1L;

  public PlatformException(String message) {
    super(message);
  }

  public PlatformException(String message, Throwable cause) {
    super(message, cause);
  }
}
