package io.cactusspring.jobs.control;

import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Batch;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Follows a keyed topic: loads the newest record of each key, then reads the records that follow.
 * Loads all keys again if the store no longer keeps the next record.
 *
 * @since 0.2
 */
public final class TopicFollower {
  private static final long INITIAL_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 400;
  // A slow store responds within about 400 ms.
  private static final long OVERDUE_MARGIN_MILLIS = 500;

  /** Less than this is no delay, whatever the last reads took. */
  private static final long MIN_LATE_MARGIN_MILLIS = 150;

  private final String name;
  private final KeyedTopic topic;
  private final TopicSink sink;
  private final Timers timers;
  private final AgeClock clock;
  private final JobLog log;
  private final long waitMillis;
  private final LongSupplier pauseMillis;
  private boolean running;
  private boolean loaded;
  private long next;
  private Optional<AgeClock.Mark> confirmed = Optional.empty();
  private long answeredAt = Long.MIN_VALUE / 2;
  private long uninterruptedReadsSince = Long.MAX_VALUE;
  private boolean unavailable;
  private boolean watching;

  /** Whether the last read returned all records that were stored when it was answered. */
  private boolean reachedEnd;

  /**
   * How much longer than its wait the last read took, if it returned no record. The wait of the
   * next read is shortened accordingly, which bounds the age of the data while the store is slow.
   */
  private long lastReadDelayMillis;

  /** How long the read in progress waits at the store. */
  private long currentWaitMillis;

  /** Offsets of loaded records that were appended during the load and are read again, by key. */
  private Map<String, Long> appendedDuringLoad = Map.of();

  private long retryMillis = INITIAL_RETRY_MILLIS;
  private int generation;

  /**
   * Creates a follower.
   *
   * @param waitMillis how long a read waits for a record at the store
   * @param pauseMillis pause after a read that returned records
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
    clock = new AgeClock(timers);
    this.log = log;
    this.waitMillis = waitMillis;
    this.pauseMillis = pauseMillis;
  }

  /** Starts following the topic. */
  public void start() {
    if (!running) {
      running = true;
      generation++;
      readNext(generation);
    }
  }

  /** Stops following the topic; a later start loads all keys again. */
  public void stop() {
    running = false;
    loaded = false;
    confirmed = Optional.empty();
    uninterruptedReadsSince = Long.MAX_VALUE;
  }

  String name() {
    return name;
  }

  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the offset that follows the last applied record. */
  public long next() {
    return next;
  }

  /**
   * Returns the age of the data in milliseconds: the time since the last successful read was sent
   * that reached the end of the topic. {@link Long#MAX_VALUE} if there was none, or if the time
   * since is unknown.
   */
  public long ageMillis() {
    return confirmed.map(clock::millisSince).orElse(Long.MAX_VALUE);
  }

  /**
   * Returns whether a read is overdue, which is the first sign of an unreachable store. Unlike
   * {@link #isReadLate()}, it allows for a store that has just become slow.
   */
  public boolean isOverdue() {
    return timers.nowMillis() - answeredAt > waitMillis + OVERDUE_MARGIN_MILLIS;
  }

  /**
   * Returns whether a read has got no answer for clearly longer than the last ones took. That is
   * known before the data is too old to decide by.
   */
  boolean isReadLate() {
    long margin = Math.min(OVERDUE_MARGIN_MILLIS, MIN_LATE_MARGIN_MILLIS + 2 * lastReadDelayMillis);
    boolean unanswered = timers.nowMillis() - answeredAt > currentWaitMillis + margin;
    return running
        && confirmed.isPresent()
        && (unanswered || ageMillis() > 2 * waitMillis + margin);
  }

  /** Returns whether a read is in progress that returns the next record as soon as it is stored. */
  public boolean isWatching() {
    return watching && !isOverdue();
  }

  /**
   * Returns whether all records are applied that were stored when the last read was answered, and
   * whether a read is in progress that returns the next one as soon as it is stored.
   */
  public boolean isCaughtUp() {
    return loaded && reachedEnd && isWatching();
  }

  /** Returns since when all reads have succeeded; {@link Long#MAX_VALUE} while reads fail. */
  public long uninterruptedReadsSince() {
    return uninterruptedReadsSince;
  }

  /**
   * Restarts the period of uninterrupted reads, after this process was paused or a read is overdue.
   */
  public void restartUninterruptedReads() {
    if (uninterruptedReadsSince != Long.MAX_VALUE) {
      uninterruptedReadsSince = timers.nowMillis();
    }
  }

  /**
   * Reads without waiting, and completes when all records that were stored before the call are
   * applied. Fails with a {@link StoreException} if the topic is not loaded yet or a read fails.
   */
  public Future<Void> refresh() {
    if (!loaded) {
      return Future.failedFuture(
          new StoreException(StoreException.Kind.REFUSED, name + " is not loaded yet"));
    }
    int expectedGeneration = generation;
    AgeClock.Mark sent = clock.mark();
    return topic
        .read(next, 0)
        .compose(
            batch -> {
              if (!isCurrent(expectedGeneration)) {
                return Future.failedFuture(
                    new StoreException(StoreException.Kind.REFUSED, name + " was stopped"));
              }
              apply(batch);
              confirm(sent);
              return next < batch.end() ? refresh() : Future.succeededFuture();
            });
  }

  /**
   * Reads on a new connection without waiting, beside the read in progress. Completes once the
   * store has answered; the records are applied if the topic is loaded.
   */
  Future<Void> readOnNewConnection() {
    int expectedGeneration = generation;
    AgeClock.Mark sent = clock.mark();
    return topic
        .readOnNewConnection(next)
        .compose(
            batch -> {
              if (loaded && isCurrent(expectedGeneration)) {
                apply(batch);
                readSucceeded(sent);
              }
              return Future.succeededFuture();
            },
            problem -> {
              if (StoreException.kindOf(problem) != StoreException.Kind.TRIMMED) {
                return Future.failedFuture(problem);
              }
              if (loaded && isCurrent(expectedGeneration)) {
                loaded = false;
                readNext(++generation);
              }
              return Future.succeededFuture();
            });
  }

  private void readNext(int expectedGeneration) {
    if (!isCurrent(expectedGeneration)) {
      return;
    }
    AgeClock.Mark sent = clock.mark();
    watching = loaded;
    long wait = waitMillis - Math.min(waitMillis / 2, 2 * lastReadDelayMillis);
    currentWaitMillis = wait;
    Future<Boolean> done =
        loaded
            ? topic.read(next, wait).map(batch -> isCurrent(expectedGeneration) && apply(batch))
            : PageLoader.load(topic).map(page -> isCurrent(expectedGeneration) && finishLoad(page));
    done.onComplete(
        hasRecords -> {
          if (isCurrent(expectedGeneration)) {
            watching = false;
            long tookMillis = timers.nowMillis() - sent.steadyMillis();
            lastReadDelayMillis = hasRecords ? 0 : Math.max(0, tookMillis - wait);
            readSucceeded(sent);
            sink.caughtUp();
            timers.after(
                hasRecords ? pauseMillis.getAsLong() : 0, () -> readNext(expectedGeneration));
          }
        },
        problem -> {
          if (isCurrent(expectedGeneration)) {
            watching = false;
            readFailed(problem);
            timers.after(retryMillis, () -> readNext(expectedGeneration));
          }
        });
  }

  /** Returns whether the follower was neither stopped nor started again since a generation. */
  private boolean isCurrent(int expectedGeneration) {
    return running && expectedGeneration == generation;
  }

  private void readSucceeded(AgeClock.Mark sent) {
    confirm(sent);
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

  /** Records when a successful read was sent, if it reached the end of the topic. */
  private void confirm(AgeClock.Mark sent) {
    if (reachedEnd && clock.millisSince(sent) < ageMillis()) {
      confirmed = Optional.of(sent);
    }
  }

  private void readFailed(Throwable problem) {
    if (StoreException.kindOf(problem) == StoreException.Kind.TRIMMED) {
      // The store responds, so it is available; it has trimmed the log beyond the next offset.
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

  /** Applies the records that no other read has applied meanwhile; returns whether any was read. */
  private boolean apply(Batch batch) {
    long applied = next;
    next = Math.max(next, batch.next());
    reachedEnd = next >= batch.end();
    batch.entries().stream()
        .filter(e -> e.offset() >= applied)
        // The pages of a load are no snapshot: an older record of the key may follow.
        .filter(e -> e.offset() > appendedDuringLoad.getOrDefault(e.key(), -1L))
        .forEach(this::deliver);
    return !batch.entries().isEmpty();
  }

  /** Passes a record on; one that cannot be applied does not keep the others from being read. */
  private void deliver(Entry entry) {
    try {
      sink.apply(entry);
    } catch (RuntimeException e) {
      log.recordUnreadable(name, entry.key(), entry.offset(), JobLog.trace(e));
    }
  }

  private boolean finishLoad(PageLoader.Loaded page) {
    next = page.end();
    reachedEnd = true;
    loaded = true;
    appendedDuringLoad =
        page.entries().stream()
            .filter(e -> e.offset() >= page.end())
            .collect(Collectors.toMap(Entry::key, Entry::offset, Math::max));
    page.entries().stream().sorted(Comparator.comparingLong(Entry::offset)).forEach(this::deliver);
    sink.loaded(page.entries().stream().map(Entry::key).collect(Collectors.toSet()));
    return true;
  }
}
