package io.cactusspring.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import java.util.stream.DoubleStream;

/** Ways to measure a cost. */
final class Measure {
  /** The serial collector compacts the heap whole in one of four collections. */
  private static final int COLLECTIONS = 4;

  private static final int REPEATS = 9;

  private Measure() {}

  /** Measures a cost that doesn't depend on how warm the code is. */
  static List<Point> points(double[] sizes, DoubleUnaryOperator costOfSize) {
    return DoubleStream.of(sizes).mapToObj(s -> new Point(s, costOfSize.applyAsDouble(s))).toList();
  }

  /** Measures a time at each size after a first pass over all sizes. */
  static List<Point> warmPoints(double[] sizes, DoubleUnaryOperator costOfSize) {
    points(sizes, costOfSize);
    return points(sizes, costOfSize);
  }

  /** Returns the bytes of heap that what is built retains. */
  static double retainedBytes(Supplier<Object> build) {
    List<Object> retained = new ArrayList<>();
    long before = usedHeap();
    retained.add(build.get());
    long after = usedHeap();
    retained.clear();
    return after - before;
  }

  private static long usedHeap() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * Returns the least time of several runs, in nanoseconds, after as many to warm up; other work on
   * the machine only adds to a time.
   */
  static double nanos(Runnable work) {
    for (int i = 0; i < REPEATS; i++) {
      work.run();
    }
    return DoubleStream.generate(() -> time(work)).limit(REPEATS).min().orElseThrow();
  }

  private static double time(Runnable work) {
    long start = System.nanoTime();
    work.run();
    return System.nanoTime() - start;
  }
}
