package io.cactusspring.soak;

/** A promise that was broken. */
public record Violation(long at, Rule rule, String details) {
  @Override
  public String toString() {
    return at + " ms: " + rule + ": " + details;
  }
}
