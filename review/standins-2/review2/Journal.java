package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to {@code record.txt}, with the time since the start. */
final class Journal implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter file;

  Journal(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path));
  }

  /** Returns the milliseconds since the start. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    file.printf(Locale.ROOT, "%8.3f s  %s%n", now() / 1_000.0, text);
    file.flush();
  }

  /** Writes a line that is also printed. */
  void say(String format, Object... values) {
    line(format, values);
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
