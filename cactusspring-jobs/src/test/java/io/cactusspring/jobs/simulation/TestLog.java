package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.log.JobLog;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A log whose lines are kept in memory. */
public final class TestLog {
  private static final int BUFFER_LINES = 1 << 20;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final JobLog log =
      new JobLog(
          "simulation",
          new PrintStream(output, true, StandardCharsets.UTF_8),
          BUFFER_LINES,
          (event, kind) -> {});

  public JobLog log() {
    return log;
  }

  /** Adds a line that no host has logged. */
  void add(String line) {
    log.flush();
    output.writeBytes((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the lines that were logged so far. */
  public List<String> lines() {
    log.flush();
    return output.toString(StandardCharsets.UTF_8).lines().toList();
  }
}
