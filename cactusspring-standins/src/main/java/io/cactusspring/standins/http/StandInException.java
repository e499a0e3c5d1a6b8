package io.cactusspring.standins.http;

/**
 * Tells why a stand-in could not start or why it refuses a call.
 *
 * @since 0.1
 */
public class StandInException extends Exception {
  private static final long serialVersionUID = 1;

  public StandInException(String message) {
    super(message);
  }

  public StandInException(String message, Throwable cause) {
    super(message, cause);
  }
}
