package io.cactusspring.daemon.platform;

/**
 * A call to the platform that got no usable answer; whether it took effect is unknown.
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
