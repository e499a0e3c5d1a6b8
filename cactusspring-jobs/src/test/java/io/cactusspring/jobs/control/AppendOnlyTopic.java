package io.cactusspring.jobs.control;

import io.cactusspring.jobs.port.KeyedTopic;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;

/** A topic for tests of writers, which only append without a condition. */
abstract class AppendOnlyTopic implements KeyedTopic {
  @Override
  public Future<Void> appendAt(long end, List<Entry> entries) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Future<Batch> read(long from, long waitMillis) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Future<Batch> readOnNewConnection(long from) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Future<Page> newest(Optional<String> after) {
    throw new UnsupportedOperationException();
  }
}
