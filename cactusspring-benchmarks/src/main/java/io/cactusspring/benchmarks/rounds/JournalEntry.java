package io.cactusspring.benchmarks.rounds;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * One entry of the journal that the user benchmark writes.
 *
 * @param file name of the file
 * @param site name of the deployment that was played
 * @param command what was run, such as {@code score}
 * @param arguments its arguments
 * @param worth worth of each day, by the day's name
 */
record JournalEntry(
    String file, String site, String command, List<String> arguments, Map<String, Double> worth) {
  /** Names of standard days; days of fault searches and incidents are excluded. */
  private static final Pattern STANDARD_DAY = Pattern.compile("(quiet|trouble|scale)-[0-9]+");

  private static final List<String> STANDARD_COMMANDS = List.of("run", "score");

  /** Options with which a day differs from the standard one. */
  private static final List<String> CHANGED_DAY = List.of("--seed", "--until", "--vary");

  /** Option with which processor time is not charged, so that figures cannot be compared. */
  private static final String NO_PROCESSOR_TIME = "--no-cpu";

  JournalEntry {
    arguments = List.copyOf(arguments);
  }

  /**
   * Reads all entries of a journal, in the order of their times.
   *
   * @throws IOException if an entry cannot be read
   */
  static List<JournalEntry> readAll(Path journal) throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(journal)) {
      files = all.filter(f -> f.toString().endsWith(".json")).sorted().toList();
    }
    ObjectMapper json = new ObjectMapper();
    List<JournalEntry> entries = new ArrayList<>();
    for (Path file : files) {
      entries.add(decode(file.getFileName().toString(), json.readTree(file.toFile())));
    }
    return entries;
  }

  private static JournalEntry decode(String file, JsonNode entry) {
    Map<String, Double> worth = new LinkedHashMap<>();
    entry.path("days").forEach(d -> worth.put(d.path("name").asText(), d.path("G").asDouble()));
    List<String> arguments =
        StreamSupport.stream(entry.path("argv").spliterator(), false)
            .map(JsonNode::asText)
            .toList();
    return new JournalEntry(
        file, entry.path("site").asText(), entry.path("cmd").asText(), arguments, worth);
  }

  /** Returns whether the entry holds standard days that were played as they are defined. */
  boolean holdsStandardDays() {
    return STANDARD_COMMANDS.contains(command)
        && arguments.stream().noneMatch(CHANGED_DAY::contains);
  }

  /** Returns whether processor time was charged. */
  boolean chargesProcessorTime() {
    return !arguments.contains(NO_PROCESSOR_TIME);
  }

  /** Returns whether a name is that of a standard day. */
  static boolean isStandardDay(String name) {
    return STANDARD_DAY.matcher(name).matches();
  }
}
