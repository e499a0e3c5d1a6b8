package io.cactusspring.core.security;

/**
 * Identity of the sender of a request.
 *
 * @since 0.1
 */
public sealed interface Identity {
  /**
   * A caller of a team.
   *
   * @param key name of the key that was presented
   */
  record TeamIdentity(String team, String key) implements Identity {}

  /**
   * An operator.
   *
   * @param key name of the key that was presented
   */
  record OperatorIdentity(String key) implements Identity {}

  /** A caller without a key; only open queues accept its work. */
  record Anonymous() implements Identity {}
}
