package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with seconds since its start. */
final class Recorder implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    out.printf("%8.3f %s%n", millis() / 1_000.0, String.format(format, arguments));
  }

  /** Writes a line to the record and to the standard output. */
  void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.printf("%8.3f %s%n", millis() / 1_000.0, String.format(format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
