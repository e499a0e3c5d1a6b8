package io.cactusspring.core.request;

/** A guarantee to callers was violated. */
final class Violation extends RuntimeException {
  private static final long serialVersionUID = 1L;

  Violation(String message) {
    super(message);
  }
}
