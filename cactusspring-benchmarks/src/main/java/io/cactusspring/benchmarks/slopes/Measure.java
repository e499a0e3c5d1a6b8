package io.cactusspring.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import java.util.stream.DoubleStream;

/** Measures costs in time and memory. */
final class Measure {
  /**
   * Collections before a reading of the heap; the serial collector compacts the whole heap only in
   * one of four collections.
   */
  private static final int COLLECTIONS = 4;

  private static final int REPEATS = 9;

  private Measure() {}

  /** Measures a cost that doesn't depend on JIT compilation. */
  static List<Point> points(double[] sizes, DoubleUnaryOperator costOfSize) {
    return DoubleStream.of(sizes).mapToObj(s -> new Point(s, costOfSize.applyAsDouble(s))).toList();
  }

  /** Measures a cost at each size after a warm-up pass over all sizes. */
  static List<Point> warmPoints(double[] sizes, DoubleUnaryOperator costOfSize) {
    points(sizes, costOfSize);
    return points(sizes, costOfSize);
  }

  /** Returns the heap that the built object retains, in bytes. */
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
   * Returns the minimum time of several runs, in nanoseconds, after as many warm-up runs. The
   * minimum is used because other load on the machine can only lengthen a run.
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
