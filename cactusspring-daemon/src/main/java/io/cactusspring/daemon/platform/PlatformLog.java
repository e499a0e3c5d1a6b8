package io.cactusspring.daemon.platform;

import io.vertx.core.Future;
import java.util.List;

/**
 * The platform's append-only log.
 *
 * @since 0.1
 */
public interface PlatformLog {
  /**
   * Appends records as one batch.
   *
   * @return future that completes when the log has confirmed the append; fails with {@link
   *     PlatformException} if it is unknown whether the records have been or will be appended
   */
  Future<Void> append(List<String> records);

  /**
   * Reads records.
   *
   * @param from offset of the first record to read
   * @param waitMillis maximum time for which the log waits if there is no record yet, in
   *     milliseconds
   */
  Future<LogReadResult> read(long from, long waitMillis);
}
