package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.Queue;

/**
 * Result of resolving a caller's address and key to a queue.
 *
 * @since 0.2
 */
public sealed interface Resolution {
  /**
   * The caller may use the queue.
   *
   * @param organisation empty on an open queue without a key
   * @param remainingPath the part of the path after the queue's prefix
   */
  record Granted(Queue queue, String organisation, String remainingPath) implements Resolution {}

  /** No queue has this address. */
  record NoQueue() implements Resolution {}

  /** No organisation has this key. */
  record UnknownKey() implements Resolution {}

  /** The data of this host is missing or too old to decide; another host may be able to. */
  record Undetermined(String reason) implements Resolution {}
}
