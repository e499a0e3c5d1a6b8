package io.cactusspring.jobs.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.cactusspring.jobs.schedule.EndedJob;
import io.cactusspring.jobs.schedule.StageTimes.Stage;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines, one JSON object per line, from a dedicated thread.
 *
 * <p>Callers never block: lines that do not fit into the buffer are dropped and counted, and the
 * count is logged after the next line that is written.
 *
 * @since 0.2
 */
public final class JobLog {
  /**
   * Default capacity of the buffer, in lines. An owner of 245 executors wrote 1,612 lines in one
   * second.
   */
  public static final int DEFAULT_BUFFER_LINES = 2_048;

  private static final JsonFactory JSON = new JsonFactory();

  private final BlockingQueue<String> buffer;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final String host;
  private final EventCounter counter;

  /** Counts events, including those whose lines are dropped. */
  @FunctionalInterface
  public interface EventCounter {
    /**
     * Counts an event.
     *
     * @param kind the decision, the outcome or the HTTP status that the event reports; empty for
     *     all other events
     */
    void count(JobEvent event, String kind);

    /**
     * Records how long a job of a queue spent in a stage; called for all stages when it has ended.
     */
    default void recordStage(String queue, Stage stage, long millis) {}

    /**
     * Records the age of the oldest step that waits, in milliseconds, by reason; a reason that is
     * missing holds no step.
     */
    default void recordOldestWaits(Map<String, Long> millisByReason) {}
  }

  /**
   * Creates a log.
   *
   * @param host name of this host, written to every line
   * @param bufferLines capacity of the buffer
   */
  public JobLog(String host, PrintStream out, int bufferLines, EventCounter counter) {
    this.host = host;
    this.counter = counter;
    this.out = out;
    buffer = new ArrayBlockingQueue<>(bufferLines);
  }

  /** Starts the writer thread. */
  public void start() {
    Thread writer = new Thread(this::writeForever, "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Logs an event.
   *
   * @param fields names and values, alternating
   */
  public void event(JobEvent event, Object... fields) {
    counter.count(event, kind(event, fields));
    if (!buffer.offer(line(event, fields))) {
      dropped.incrementAndGet();
    }
  }

  /**
   * Logs that a record of the store is skipped.
   *
   * @param offset position of the record, as far as it can be told
   */
  public void recordUnreadable(String topic, String key, Object offset, String reason) {
    event(
        JobEvent.RECORD_UNREADABLE, "topic", topic, "key", key, "offset", offset, "reason", reason);
  }

  /** Logs the end of a job with its stages, and records these in the metrics. */
  public void jobEnded(EndedJob job, long term) {
    List<Object> fields = new ArrayList<>();
    fields.addAll(List.of("job", job.id(), "queue", job.queue()));
    fields.addAll(List.of("organisation", job.organisation(), "state", job.state()));
    fields.addAll(List.of("millis", job.millis(), "objectiveMillis", job.objectiveMillis()));
    for (Stage stage : Stage.values()) {
      fields.addAll(List.of(stage.fieldName(), job.stages().in(stage)));
      counter.recordStage(job.queue(), stage, job.stages().in(stage));
    }
    fields.addAll(List.of("term", term));
    event(JobEvent.JOB_ENDED, fields.toArray());
  }

  /** Records the age of the oldest step that waits, in milliseconds, by reason. */
  public void oldestWaits(Map<String, Long> millisByReason) {
    counter.recordOldestWaits(millisByReason);
  }

  private static String kind(JobEvent event, Object... fields) {
    return switch (event) {
      case DECISION -> String.valueOf(fields[1]);
      case SUBMISSION, CANCELLATION -> fields[3].getClass().getSimpleName();
      case REQUEST_REFUSED -> String.valueOf(fields[5]);
      case JOB_ENDED -> String.valueOf(fields[7]);
      default -> "";
    };
  }

  /** Returns an unexpected error with its stack trace, for a field. */
  public static String trace(Throwable problem) {
    StringWriter trace = new StringWriter();
    problem.printStackTrace(new PrintWriter(trace));
    return trace.toString();
  }

  /** Returns the number of lines that were dropped so far. */
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

  /** Writes the lines that are left in the buffer; called when the process ends. */
  public void flush() {
    for (String line = buffer.poll(); line != null; line = buffer.poll()) {
      write(line);
    }
    out.flush();
  }
}
