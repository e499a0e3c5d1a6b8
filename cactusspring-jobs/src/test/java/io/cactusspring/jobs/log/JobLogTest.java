package io.cactusspring.jobs.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class JobLogTest {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final AtomicInteger counted = new AtomicInteger();

  private JobLog log(int lines) {
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    return new JobLog("host-1", out, lines, (event, kind) -> counted.incrementAndGet());
  }

  private List<String> written() {
    return bytes.toString(StandardCharsets.UTF_8).lines().toList();
  }

  @Test
  void lineContainsHostCodeAndFields() {
    JobLog log = log(10);
    log.event(JobEvent.CONFIGURATION, "version", 7L, "reason", "say \"why\"");
    log.flush();
    assertThat(written().get(0)).contains("\"host\":\"host-1\",\"event\":\"CS2104\"");
    assertThat(written().get(0)).endsWith("\"version\":7,\"reason\":\"say \\\"why\\\"\"}");
  }

  /** The log must not block its callers when they log faster than the output is written. */
  @Test
  void linesThatExceedTheBufferAreDroppedAndCountedWithoutBlocking() {
    JobLog log = log(100);
    for (int i = 0; i < 50_000; i++) {
      log.event(JobEvent.CONFIGURATION, "version", i);
    }
    assertThat(log.dropped()).isEqualTo(49_900);
    assertThat(counted.get()).isEqualTo(50_000);
    log.flush();
    assertThat(written()).hasSize(100);
  }

  @Test
  void everyEventIsListedInTheCatalogue() throws Exception {
    String page = Files.readString(Path.of("..", "docs", "EVENTS.md"));
    Arrays.stream(JobEvent.values())
        .map(e -> "| " + e.code() + " | " + e.name() + " | " + e.meaning() + " |")
        .forEach(row -> assertThat(page).contains(row));
  }
}
