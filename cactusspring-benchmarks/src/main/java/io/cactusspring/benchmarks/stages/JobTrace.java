package io.cactusspring.benchmarks.stages;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The end of one job, as an owner logged it with event CS2402.
 *
 * @param endedAt when the job ended, in Unix milliseconds
 * @param state the final state, such as {@code COMPLETED}
 * @param millis time from its acceptance to its end
 * @param objectiveMillis time within which it was to complete
 * @param stageMillis milliseconds by stage, in the order of the stages
 */
record JobTrace(
    long endedAt,
    String queue,
    String organisation,
    String state,
    long millis,
    long objectiveMillis,
    Map<String, Long> stageMillis) {
  private static final String EVENT = "CS2402";
  private static final String SUFFIX = "Millis";
  private static final String OBJECTIVE = "objectiveMillis";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Whether a job was of use to its caller. */
  enum Outcome {
    IN_TIME,
    LATE,
    FAILED,
    CANCELLED
  }

  /** Returns the job of a line; empty if the line holds another event or is no log line. */
  static Optional<JobTrace> parse(String line) {
    int start = line.indexOf('{');
    if (start < 0 || !line.contains(EVENT)) {
      return Optional.empty();
    }
    try {
      return decode(JSON.readTree(line.substring(start)));
    } catch (JsonProcessingException | DateTimeParseException e) {
      // The output of a process that is killed may end within a line.
      return Optional.empty();
    }
  }

  private static Optional<JobTrace> decode(JsonNode line) {
    if (!line.path("event").asText().equals(EVENT)) {
      return Optional.empty();
    }
    Map<String, Long> stages = new LinkedHashMap<>();
    line.properties().stream()
        .filter(f -> f.getKey().endsWith(SUFFIX) && !f.getKey().equals(OBJECTIVE))
        .forEach(
            f ->
                stages.put(
                    f.getKey().substring(0, f.getKey().length() - SUFFIX.length()),
                    f.getValue().asLong()));
    return Optional.of(
        new JobTrace(
            Instant.parse(line.path("time").asText()).toEpochMilli(),
            line.path("queue").asText(),
            line.path("organisation").asText(),
            line.path("state").asText(),
            line.path("millis").asLong(),
            line.path(OBJECTIVE).asLong(),
            stages));
  }

  long submittedAt() {
    return endedAt - millis;
  }

  Outcome outcome() {
    return switch (state) {
      case "COMPLETED" -> millis <= objectiveMillis ? Outcome.IN_TIME : Outcome.LATE;
      case "CANCELLED" -> Outcome.CANCELLED;
      default -> Outcome.FAILED;
    };
  }
}
