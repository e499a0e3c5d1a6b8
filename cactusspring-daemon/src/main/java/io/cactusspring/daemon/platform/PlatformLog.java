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
   * @return completes when the log has answered; fails with {@link PlatformException} when it is
   *     unknown whether the records are or will be in the log
   */
  Future<Void> append(List<String> records);

  /**
   * Reads records.
   *
   * @param from offset of the first record wanted
   * @param waitMillis how long the log may wait for a record when there is none yet
   */
  Future<LogRead> read(long from, long waitMillis);
}
