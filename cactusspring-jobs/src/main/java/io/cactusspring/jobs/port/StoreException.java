package io.cactusspring.jobs.port;

/**
 * Thrown when a call to the platform's store did not succeed.
 *
 * @since 0.2
 */
public final class StoreException extends Exception {
  private static final long serialVersionUID = 1L;

  /** What is known about the effect of the call. */
  public enum Kind {
    /** The call had no effect. */
    REFUSED,
    /** The call may have taken effect, or may still take effect. */
    UNKNOWN,
    /** A writer with a higher epoch has taken over. */
    SUPERSEDED,
    /** The log does not end where the call expected, so that nothing was appended. */
    CONFLICT,
    /** The store no longer keeps the requested records. */
    TRIMMED
  }

  private final Kind kind;

  public StoreException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  public Kind kind() {
    return kind;
  }

  /** Returns the kind of a failure: {@link Kind#UNKNOWN} for anything but a store exception. */
  public static Kind kindOf(Throwable failure) {
    return failure instanceof StoreException e ? e.kind() : Kind.UNKNOWN;
  }
}
