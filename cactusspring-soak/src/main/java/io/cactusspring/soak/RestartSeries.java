package io.cactusspring.soak;

import io.cactusspring.soak.Fault.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Draws restarts in series that overlap: hosts are stopped one after another and start again, and
 * executors crash and are back under their ids within a second, while the store is slow at times.
 */
final class RestartSeries {
  private static final long FIRST_MILLIS = 3_000;

  /** Long enough for an executor to report ends, and for these to be acknowledged. */
  private static final long EXECUTOR_REST_MILLIS = 3_000;

  /** Requests from this time before a crash on may reach the later boot. */
  private static final long LATE_BEFORE_MILLIS = 800;

  private static final long LATE_AFTER_MILLIS = 1_500;

  /** Most of the last requests to a boot are carried out late. */
  private static final long LAST_CALLS_MILLIS = 300;

  private static final int LAST_CALLS_PERCENT = 90;
  private static final int MAX_CRASHES_AT_ONCE = 3;

  private final Random random;
  private final long durationMillis;
  private final List<Fault> faults = new ArrayList<>();

  private RestartSeries(long seed, long durationMillis) {
    // Differs from the seeds of the other plans.
    random = new Random(seed * 31 + 11);
    this.durationMillis = durationMillis;
  }

  /** Draws faults that end within a duration. */
  static List<Fault> draw(long seed, long durationMillis, int hosts) {
    RestartSeries series = new RestartSeries(seed, durationMillis);
    series.stopHosts(hosts);
    series.slowStore();
    series.crashExecutors(Site.executors().size());
    return series.faults.stream().sorted(Comparator.comparingLong(Fault::at)).toList();
  }

  private void stopHosts(int hosts) {
    List<Integer> order = new ArrayList<>(IntStream.range(0, hosts).boxed().toList());
    long at = FIRST_MILLIS + random.nextInt(2_000);
    while (at < durationMillis) {
      Collections.shuffle(order, random);
      int stopped = Math.min(hosts, Math.max(1, hosts - 1 + random.nextInt(2)));
      long stopAt = at;
      for (int host : order.subList(0, stopped)) {
        add(stopAt, between(100, 1_000), Kind.HOST_STOPPED, host, 0);
        stopAt += between(200, 1_200);
      }
      at += between(4_000, 8_000);
    }
  }

  private void slowStore() {
    long at = FIRST_MILLIS + random.nextInt(2_000);
    while (at < durationMillis) {
      long millis = between(1_500, 4_000);
      add(at, millis, Kind.STORE_SLOW, 0, between(300, 600));
      at += millis + between(2_000, 4_000);
    }
  }

  private void crashExecutors(int executors) {
    long[] restUntil = new long[executors];
    long at = FIRST_MILLIS;
    while (at < durationMillis) {
      int count = 1 + random.nextInt(MAX_CRASHES_AT_ONCE);
      for (int i = 0; i < count; i++) {
        int executor = random.nextInt(executors);
        if (at >= restUntil[executor]) {
          long millis = between(300, 1_000);
          crash(at, millis, executor);
          restUntil[executor] = at + millis + EXECUTOR_REST_MILLIS;
        }
      }
      at += between(700, 2_500);
    }
  }

  private void crash(long at, long millis, int executor) {
    add(at, millis, Kind.EXECUTOR_CRASHED, executor, between(0, 2_500));
    if (random.nextBoolean()) {
      // Connections stay open and requests get no answer, as after a loss of power.
      add(at, millis, Kind.EXECUTOR_SILENT, executor, 0);
    }
    switch (random.nextInt(3)) {
      case 0 -> {
        long lateMillis = LATE_BEFORE_MILLIS + millis + LATE_AFTER_MILLIS;
        add(at - LATE_BEFORE_MILLIS, lateMillis, Kind.EXECUTOR_LATE, executor, between(10, 50));
      }
      case 1 ->
          add(
              at - LAST_CALLS_MILLIS,
              LAST_CALLS_MILLIS,
              Kind.EXECUTOR_LATE,
              executor,
              LAST_CALLS_PERCENT);
      default -> {}
    }
  }

  private void add(long at, long millis, Kind kind, int target, int amount) {
    if (at + millis <= durationMillis) {
      faults.add(new Fault(at, millis, kind, target, amount));
    }
  }

  private int between(int min, int max) {
    return min + random.nextInt(max - min + 1);
  }
}
