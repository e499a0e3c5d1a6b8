package io.cactusspring.standins.http;

/**
 * Thrown if a stand-in cannot start, a request is invalid or a load test fails.
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
