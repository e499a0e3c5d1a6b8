package io.cactusspring.jobs.port;

import io.cactusspring.jobs.link.PeerMessage;

/**
 * A connection to another entry host. Messages arrive in the order in which they were sent, or the
 * link closes.
 *
 * @since 0.2
 */
public interface PeerLink {
  /** Receives what happens on a link. */
  interface Handler {
    /** Called for each message of the other host. */
    void received(PeerMessage message);

    /** Called once when the link has closed, from either side. */
    void closed();
  }

  /** Sends a message. Returns false, without sending, if the link is closed or its queue full. */
  boolean send(PeerMessage message);

  /** Closes the link; messages that were not delivered yet may be lost. */
  void close();
}
