package io.cactusspring.core.security;

/**
 * Name and secret of a key as a caller sent them.
 *
 * @since 0.1
 */
public record PresentedKey(String name, String secret) {
  /** Returns the name only; the secret is omitted. */
  @Override
  public String toString() {
    return "PresentedKey[" + name + "]";
  }
}
