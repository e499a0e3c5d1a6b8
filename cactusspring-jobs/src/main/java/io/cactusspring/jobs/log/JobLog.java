package io.cactusspring.jobs.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one JSON object a line, from a thread of its own.
 *
 * <p>Whoever logs never waits: lines that do not fit into the buffer are dropped and counted, and
 * the count is logged once there is room again.
 *
 * @since 0.2
 */
public final class JobLog {
  /** Lines that may wait for the output; an owner of 245 executors wrote 1,612 in one second. */
  public static final int DEFAULT_BUFFER_LINES = 2_048;

  private static final JsonFactory JSON = new JsonFactory();

  private final BlockingQueue<String> buffer;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final String host;
  private final EventCounter counter;

  /** Counts events, also those whose lines are dropped. */
  @FunctionalInterface
  public interface EventCounter {
    /**
     * Counts one.
     *
     * @param kind which decision or outcome it tells; empty if there is only one
     */
    void count(JobEvent event, String kind);
  }

  /** Creates a log whose lines name a host. */
  public JobLog(String host, PrintStream out, int bufferLines, EventCounter counter) {
    this.host = host;
    this.counter = counter;
    this.out = out;
    buffer = new ArrayBlockingQueue<>(bufferLines);
  }

  /** Starts the thread that writes. */
  public void start() {
    Thread writer = new Thread(this::writeForever, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Logs an event.
   *
   * @param fields names and values in turn
   */
  public void event(JobEvent event, Object... fields) {
    counter.count(event, kind(event, fields));
    if (!buffer.offer(line(event, fields))) {
      dropped.incrementAndGet();
    }
  }

  private static String kind(JobEvent event, Object... fields) {
    return switch (event) {
      case DECISION -> String.valueOf(fields[1]);
      case SUBMISSION, CANCELLATION -> fields[3].getClass().getSimpleName();
      case REQUEST_REFUSED -> String.valueOf(fields[5]);
      default -> "";
    };
  }

  /** Returns how many lines were dropped so far. */
  public long dropped() {
    return dropped.get();
  }

  private String line(JobEvent event, Object... fields) {
    StringWriter line = new StringWriter(256);
    try (JsonGenerator json = JSON.createGenerator(line)) {
      json.writeStartObject();
      json.writeStringField("time", Instant.now().toString());
      json.writeStringField("host", host);
      json.writeStringField("event", event.code());
      json.writeStringField("name", event.name());
      for (int i = 0; i + 1 < fields.length; i += 2) {
        writeField(json, String.valueOf(fields[i]), fields[i + 1]);
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return line.toString();
  }

  private static void writeField(JsonGenerator json, String name, Object value) throws IOException {
    switch (value) {
      case null -> json.writeNullField(name);
      case Integer number -> json.writeNumberField(name, number);
      case Long number -> json.writeNumberField(name, number);
      case Boolean flag -> json.writeBooleanField(name, flag);
      default -> json.writeStringField(name, value.toString());
    }
  }

  private void writeForever() {
    long reported = 0;
    try {
      while (true) {
        write(buffer.take());
        long lost = dropped.get();
        if (lost > reported) {
          write(line(JobEvent.LINES_DROPPED, "dropped", lost - reported));
          reported = lost;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(String line) {
    out.println(line);
  }

  /** Writes what still waits; for the end of the process. */
  public void flush() {
    for (String line = buffer.poll(); line != null; line = buffer.poll()) {
      write(line);
    }
    out.flush();
  }
}
