package io.cactusspring.daemon.control;

import io.cactusspring.protocol.gen.RecordsReply;
import io.vertx.core.Future;
import java.util.List;

/**
 * Access to the platform's log through peers.
 *
 * @since 0.1
 */
public interface LogRelay {
  /** Returns whether a peer reports that it has read the log recently. */
  boolean available();

  /** Requests records from the peer with the highest offset. Fails if no peer is available. */
  Future<RecordsReply> records(long fromOffset);

  /** Appends through a peer. After a failure the records may still have been appended. */
  Future<Void> append(List<String> records);
}
