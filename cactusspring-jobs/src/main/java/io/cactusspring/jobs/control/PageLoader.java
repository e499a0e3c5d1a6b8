package io.cactusspring.jobs.control;

import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.KeyedTopic.Page;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Loads the newest record of every key of a partition, page by page. */
final class PageLoader {
  /**
   * The newest records.
   *
   * @param end offset from which the records are to be read that were appended during the load
   */
  record Loaded(List<Entry> entries, long end) {}

  private static final long NO_END = -1;

  private PageLoader() {}

  static Future<Loaded> load(KeyedTopic topic) {
    return load(topic, Optional.empty(), new ArrayList<>(), NO_END);
  }

  private static Future<Loaded> load(
      KeyedTopic topic, Optional<String> after, List<Entry> read, long endOfFirstPage) {
    return topic
        .newest(after)
        .compose(
            page -> {
              read.addAll(page.entries());
              // Pages are not a snapshot: records appended during the load are read again from
              // the end of the first page.
              long end = endOfFirstPage == NO_END ? page.end() : endOfFirstPage;
              return page.more() && !page.entries().isEmpty()
                  ? load(topic, Optional.of(lastKey(page)), read, end)
                  : Future.succeededFuture(new Loaded(read, end));
            });
  }

  private static String lastKey(Page page) {
    return page.entries().get(page.entries().size() - 1).key();
  }
}
