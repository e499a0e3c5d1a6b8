package io.cactusspring.daemon.http;

/**
 * Thrown when a check refuses a request.
 *
 * @since 0.1
 */
public final class RefusalException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  public RefusalException(Refusal refusal) {
    super(refusal.message(), null, false, false);
    this.refusal = refusal;
  }

  public Refusal refusal() {
    return refusal;
  }
}
