package io.cactusspring.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongFunction;

/** Gives each observation its time, writes it to a file and passes it to the oracle. */
final class Recorder implements AutoCloseable {
  private final SoakOracle oracle;
  private final PrintWriter out;
  private long startNanos = System.nanoTime();
  private int violationsWritten;
  private boolean finished;

  Recorder(SoakOracle oracle, Path file) throws IOException {
    this.oracle = oracle;
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Sets the time to 0. */
  void restartClock() {
    startNanos = System.nanoTime();
  }

  /** Returns the milliseconds since the run began. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void record(LongFunction<Observation> observation) {
    if (finished) {
      // The hosts are killed now.
      return;
    }
    Observation seen = observation.apply(now());
    out.println(seen);
    oracle.observe(seen);
    writeViolations();
  }

  /** Carries out the checks at the end of a run. */
  void finish() {
    oracle.finish(now());
    finished = true;
    writeViolations();
  }

  private void writeViolations() {
    oracle.violations().stream()
        .skip(violationsWritten)
        .forEach(
            v -> {
              violationsWritten++;
              out.println("VIOLATION " + v);
              System.out.println("VIOLATION " + v);
            });
  }

  @Override
  public void close() {
    out.close();
  }
}
