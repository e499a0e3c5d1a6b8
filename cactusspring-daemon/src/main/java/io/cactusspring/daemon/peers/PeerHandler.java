package io.cactusspring.daemon.peers;

import io.cactusspring.protocol.gen.AppendReply;
import io.cactusspring.protocol.gen.AppendRequest;
import io.cactusspring.protocol.gen.Heartbeat;
import io.cactusspring.protocol.gen.RecordsReply;
import io.cactusspring.protocol.gen.RecordsRequest;
import io.vertx.core.Future;

/**
 * What the control of an entry host does with peers' messages. All methods are called on the
 * control context.
 *
 * @since 0.1
 */
public interface PeerHandler {
  /** Fills in what this host tells all peers, but for sequence, acknowledgement and promise. */
  Heartbeat heartbeat();

  /**
   * Takes a heartbeat.
   *
   * @param acknowledgedSentAtMillis when the heartbeat that it acknowledges was sent; -1 if none
   * @return whether this host promises the peer not to claim its shards
   */
  boolean heard(
      String peer, String incarnation, Heartbeat heartbeat, long acknowledgedSentAtMillis);

  /** Answers a request for kept records. */
  RecordsReply records(RecordsRequest request);

  /** Appends records for a peer. */
  Future<AppendReply> append(AppendRequest request);
}
