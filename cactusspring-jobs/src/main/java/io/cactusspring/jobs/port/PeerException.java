package io.cactusspring.jobs.port;

/**
 * Thrown when a request to another entry host got no answer, or an answer that says it failed.
 *
 * @since 0.2
 */
public final class PeerException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean maybeExecuted;

  public PeerException(boolean maybeExecuted, String message) {
    super(message, null, false, false);
    this.maybeExecuted = maybeExecuted;
  }

  /** Returns whether the request may have had, or may still have, an effect. */
  public boolean maybeExecuted() {
    return maybeExecuted;
  }
}
