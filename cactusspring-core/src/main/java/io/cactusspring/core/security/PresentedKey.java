package io.cactusspring.core.security;

/**
 * Name and secret of a key as a caller sent them.
 *
 * @since 0.1
 */
public record PresentedKey(String name, String secret) {
  /** Leaves the secret out. */
  @Override
  public String toString() {
    return "PresentedKey[" + name + "]";
  }
}
