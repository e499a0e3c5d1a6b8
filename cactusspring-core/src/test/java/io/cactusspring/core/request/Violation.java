package io.cactusspring.core.request;

/** A promise to callers was broken. */
final class Violation extends RuntimeException {
  private static final long serialVersionUID = 1L;

  Violation(String message) {
    super(message);
  }
}
