package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.Queue;

/**
 * What a caller's address and key lead to.
 *
 * @since 0.2
 */
public sealed interface Resolution {
  /**
   * The caller may use the queue.
   *
   * @param organisation empty on an open queue without a key
   * @param remainingPath the path behind the queue's prefix
   */
  record Granted(Queue queue, String organisation, String remainingPath) implements Resolution {}

  /** No queue has this address. */
  record NoQueue() implements Resolution {}

  /** No organisation has this key. */
  record UnknownKey() implements Resolution {}

  /** This host does not know enough to say; another one may. */
  record Undetermined(String reason) implements Resolution {}
}
