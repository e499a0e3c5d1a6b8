package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the script began. */
final class Record {
  private final long begunNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long millis() {
    return (System.nanoTime() - begunNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... values) {
    out.printf("%7d  %s%n", millis(), String.format(format, values));
  }

  /** Writes a line to the record and to the standard output. */
  void tell(String format, Object... values) {
    line(format, values);
    System.out.println(String.format(format, values));
  }

  synchronized void close() {
    out.close();
  }
}
