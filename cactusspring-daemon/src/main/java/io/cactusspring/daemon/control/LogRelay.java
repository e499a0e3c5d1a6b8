package io.cactusspring.daemon.control;

import io.cactusspring.protocol.gen.RecordsReply;
import io.vertx.core.Future;
import java.util.List;

/**
 * The platform's log as peers can reach it.
 *
 * @since 0.1
 */
public interface LogRelay {
  /** Whether a peer says that it reaches the log. */
  boolean available();

  /** Asks the peer that knows most for its records; fails when there is none. */
  Future<RecordsReply> records(long fromOffset);

  /** Appends through a peer; a failure means that the records may still land. */
  Future<Void> append(List<String> records);
}
