package io.cactusspring.daemon.peers;

import io.cactusspring.protocol.gen.AppendReply;
import io.cactusspring.protocol.gen.AppendRequest;
import io.cactusspring.protocol.gen.Heartbeat;
import io.cactusspring.protocol.gen.RecordsReply;
import io.cactusspring.protocol.gen.RecordsRequest;
import io.vertx.core.Future;

/**
 * Handles the messages of peers. All methods are called on the control context.
 *
 * @since 0.1
 */
public interface PeerHandler {
  /**
   * Returns a heartbeat with the fields that are the same for all peers, thus without sequence,
   * acknowledgement and promise.
   */
  Heartbeat heartbeat();

  /**
   * Handles the heartbeat of a peer.
   *
   * @param acknowledgedSentAtMillis when this host sent the heartbeat that this one acknowledges,
   *     on the monotonic clock; -1 if none
   * @return whether this host promises the peer not to claim its shards
   */
  boolean onHeartbeat(
      String peer, String incarnation, Heartbeat heartbeat, long acknowledgedSentAtMillis);

  /** Returns retained records, or a snapshot if the requested records are not retained. */
  RecordsReply records(RecordsRequest request);

  /** Appends records to the log for a peer. The reply says whether the log acknowledged them. */
  Future<AppendReply> append(AppendRequest request);
}
