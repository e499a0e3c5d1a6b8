package io.cactusspring.benchmarks.stages;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the tables of where the time of jobs went. */
final class StageReportTest {
  @TempDir private Path directory;

  private static String line(String second, String queue, long millis, long objectiveMillis) {
    return """
        front-1 12.3 {"time":"2026-12-04T10:00:%sZ","host":"h","event":"CS2402","name":"JOB_ENDED",\
        "job":"j","queue":"%s","organisation":"o1","state":"COMPLETED","millis":%d,\
        "objectiveMillis":%d,"roomMillis":%d,"runMillis":500,"term":7}"""
        .formatted(second, queue, millis, objectiveMillis, millis - 500);
  }

  private StageReport report(String... lines) throws IOException {
    return StageReport.read(List.of(Files.write(directory.resolve("log"), List.of(lines))));
  }

  private static String print(StageReport report) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    report.print(new PrintStream(out, true, StandardCharsets.UTF_8));
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void jobsAreCountedByQueueWithTheMeanOfEachStage() throws IOException {
    String printed =
        print(report(line("01", "quick", 600, 1_000), line("02", "quick", 1_800, 1_000)));
    assertThat(printed).containsMatch("queue +jobs +in time +late .* room +run");
    assertThat(printed).containsMatch("quick +2 +1 +1 +0 +0 +1200 +1800 +700 +500");
  }

  @Test
  void otherLinesAndTruncatedOnesArePassedOver() throws IOException {
    String cut = line("01", "quick", 600, 1_000).substring(0, 90);
    StageReport report =
        report("started", "{\"event\":\"CS2001\"}", cut, line("01", "quick", 600, 1_000));
    assertThat(report.size()).isEqualTo(1);
  }

  @Test
  void plotIsWritten() throws IOException {
    report(line("01", "quick", 600, 1_000), line("03", "batch", 900, 1_000)).plot(directory);
    assertThat(Files.size(directory.resolve("stages.png"))).isGreaterThan(1_000L);
  }

  @Test
  void missingFileIsAnError() {
    assertThrows(
        NoSuchFileException.class, () -> StageReport.read(List.of(directory.resolve("none"))));
  }
}
