package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.Queue;

/**
 * Result of resolving a caller's address and key to a queue.
 *
 * @since 0.2
 */
public sealed interface Resolution {
  /**
   * The version of the configuration that a decision rests on.
   *
   * @param ageMillis time since the read was sent that last showed that no later version was
   *     stored; {@link Long#MAX_VALUE} if it is unknown
   */
  record Basis(long version, long ageMillis) {
    @Override
    public String toString() {
      return "version "
          + version
          + (ageMillis == Long.MAX_VALUE
              ? ", not confirmed"
              : ", last confirmed " + ageMillis + " ms ago");
    }
  }

  /**
   * The caller may use the queue.
   *
   * @param organisation empty on an open queue without a key
   * @param remainingPath the part of the path after the queue's prefix
   */
  record Granted(Queue queue, String organisation, String remainingPath, Basis basis)
      implements Resolution {}

  /** No queue has this address. */
  record NoQueue(Basis basis) implements Resolution {}

  /** No organisation has this key. */
  record UnknownKey(Basis basis) implements Resolution {}

  /** The data of this host is missing or too old to decide; another host may be able to. */
  record Undetermined(String reason) implements Resolution {}
}
