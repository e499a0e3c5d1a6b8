package io.cactusspring.jobs.control;

import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Batch;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.KeyedTopic.Page;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Follows a keyed topic: loads the newest record of each key, then reads on, and loads anew when
 * the store no longer keeps what comes next.
 *
 * @since 0.2
 */
public final class TopicFollower {
  private static final long INITIAL_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 400;
  // A slow store answers within about 400 ms.
  private static final long OVERDUE_MARGIN_MILLIS = 500;

  private final String name;
  private final KeyedTopic topic;
  private final TopicSink sink;
  private final Timers timers;
  private final JobLog log;
  private final long waitMillis;
  private final LongSupplier pauseMillis;
  private boolean running;
  private boolean loaded;
  private long next;
  private long confirmedAt = Long.MIN_VALUE / 2;
  private long confirmedAtWallMillis;
  private long answeredAt = Long.MIN_VALUE / 2;
  private long uninterruptedReadsSince = Long.MAX_VALUE;
  private boolean unavailable;
  private boolean watching;

  /**
   * How much later than asked for the last read was answered. As much shorter a wait keeps the age
   * of what was read in its bounds while the store is slow.
   */
  private long lastReadDelayMillis;

  private long retryMillis = INITIAL_RETRY_MILLIS;
  private int generation;

  /**
   * Creates a follower.
   *
   * @param waitMillis how long a read waits for a record
   * @param pauseMillis least time between two reads that bring records
   */
  public TopicFollower(
      String name,
      KeyedTopic topic,
      TopicSink sink,
      Timers timers,
      JobLog log,
      long waitMillis,
      LongSupplier pauseMillis) {
    this.name = name;
    this.topic = topic;
    this.sink = sink;
    this.timers = timers;
    this.log = log;
    this.waitMillis = waitMillis;
    this.pauseMillis = pauseMillis;
  }

  /** Starts to follow. */
  public void start() {
    if (!running) {
      running = true;
      generation++;
      readNext(generation);
    }
  }

  /** Stops to follow; a later start loads anew. */
  public void stop() {
    running = false;
    loaded = false;
    uninterruptedReadsSince = Long.MAX_VALUE;
  }

  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the offset after the last record that was applied. */
  public long next() {
    return next;
  }

  /** Returns the age of what was read: time since the last answered read was sent. */
  public long ageMillis() {
    // The wall clock also counts time for which the machine was suspended.
    long steady = timers.nowMillis() - confirmedAt;
    return loaded ? Math.max(steady, timers.wallMillis() - confirmedAtWallMillis) : Long.MAX_VALUE;
  }

  /** Returns whether a read is overdue, which is the first sign of a store out of reach. */
  public boolean isOverdue() {
    return timers.nowMillis() - answeredAt > waitMillis + OVERDUE_MARGIN_MILLIS;
  }

  /** Returns whether a read is under way that brings the next record at once. */
  public boolean isWatching() {
    return watching && !isOverdue();
  }

  /** Returns since when every read was answered; far in the future while they are not. */
  public long uninterruptedReadsSince() {
    return uninterruptedReadsSince;
  }

  /** Starts the time of unbroken reading over, after the process itself stood still. */
  public void restartUninterruptedReads() {
    if (uninterruptedReadsSince != Long.MAX_VALUE) {
      uninterruptedReadsSince = timers.nowMillis();
    }
  }

  /** Reads at once, and completes when everything stored before the call is applied. */
  public Future<Void> refresh() {
    if (!loaded) {
      return Future.failedFuture(
          new StoreException(StoreException.Kind.REFUSED, name + " is not loaded yet"));
    }
    return topic
        .read(next, 0)
        .compose(
            batch -> {
              apply(batch);
              return next < batch.end() ? refresh() : Future.succeededFuture();
            });
  }

  private void readNext(int expectedGeneration) {
    if (!running || expectedGeneration != generation) {
      return;
    }
    long sentAt = timers.nowMillis();
    long sentAtWallMillis = timers.wallMillis();
    watching = loaded;
    long wait = waitMillis - Math.min(waitMillis / 2, 2 * lastReadDelayMillis);
    Future<Boolean> done = loaded ? topic.read(next, wait).map(this::apply) : load().map(true);
    done.onComplete(
        hasRecords -> {
          if (running && expectedGeneration == generation) {
            watching = false;
            lastReadDelayMillis = hasRecords ? 0 : Math.max(0, timers.nowMillis() - sentAt - wait);
            readSucceeded(sentAt, sentAtWallMillis);
            sink.caughtUp();
            timers.after(
                hasRecords ? pauseMillis.getAsLong() : 0, () -> readNext(expectedGeneration));
          }
        },
        problem -> {
          if (running && expectedGeneration == generation) {
            watching = false;
            readFailed(problem);
            timers.after(retryMillis, () -> readNext(expectedGeneration));
          }
        });
  }

  private void readSucceeded(long sentAt, long sentAtWallMillis) {
    confirmedAt = Math.max(confirmedAt, sentAt);
    confirmedAtWallMillis = sentAtWallMillis;
    answeredAt = timers.nowMillis();
    retryMillis = INITIAL_RETRY_MILLIS;
    if (uninterruptedReadsSince == Long.MAX_VALUE) {
      uninterruptedReadsSince = timers.nowMillis();
    }
    if (unavailable) {
      unavailable = false;
      log.event(JobEvent.STORE_REGAINED, "topic", name, "next", next);
    }
  }

  private void readFailed(Throwable problem) {
    if (StoreException.kindOf(problem) == StoreException.Kind.TRIMMED) {
      // An answer all the same: the store is well, and has dropped its history.
      loaded = false;
      retryMillis = 0;
      return;
    }
    uninterruptedReadsSince = Long.MAX_VALUE;
    retryMillis =
        retryMillis == 0 ? INITIAL_RETRY_MILLIS : Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
    if (!unavailable) {
      unavailable = true;
      log.event(
          JobEvent.STORE_LOST, "topic", name, "next", next, "reason", String.valueOf(problem));
    }
  }

  private boolean apply(Batch batch) {
    batch.entries().forEach(sink::apply);
    next = Math.max(next, batch.next());
    return !batch.entries().isEmpty();
  }

  private Future<Void> load() {
    return loadPages(Optional.empty(), new ArrayList<>(), -1);
  }

  private Future<Void> loadPages(Optional<String> after, List<Entry> read, long endOfFirstPage) {
    return topic
        .newest(after)
        .compose(
            page -> {
              read.addAll(page.entries());
              // Pages are not a snapshot: what was written meanwhile is read again from here.
              long end = endOfFirstPage < 0 ? page.end() : endOfFirstPage;
              if (page.more() && !page.entries().isEmpty()) {
                return loadPages(Optional.of(lastKey(page)), read, end);
              }
              finishLoad(read, end);
              return Future.succeededFuture();
            });
  }

  private static String lastKey(Page page) {
    return page.entries().get(page.entries().size() - 1).key();
  }

  private void finishLoad(List<Entry> read, long end) {
    read.stream().sorted(Comparator.comparingLong(Entry::offset)).forEach(sink::apply);
    Set<String> keys = read.stream().map(Entry::key).collect(Collectors.toSet());
    next = end;
    loaded = true;
    sink.loaded(keys);
  }
}
