package io.cactusspring.core.codec;

/**
 * Thrown if a text is not a record or snapshot of a known form.
 *
 * @since 0.1
 */
public final class CodecException extends Exception {
  private static final long serialVersionUID = 1L;

  public CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
