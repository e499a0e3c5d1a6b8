package io.cactusspring.benchmarks.rounds;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Plays deployments with the user benchmark and compares the worth of each standard day with the
 * newest earlier entry of the journal that holds it.
 */
public final class Regression {
  /** Two plays of the same code differ by up to this, because processor time is measured. */
  private static final double NOISE = 0.03;

  private record Day(String site, String name) {}

  /** The worth of a standard day in an earlier play and in a new one. */
  record Change(String site, String day, double before, double after) {
    boolean isRegression() {
      return before - after >= NOISE;
    }
  }

  private final Path journal;
  private final PrintStream out;

  public Regression(Path journal, PrintStream out) {
    this.journal = journal;
    this.out = out;
  }

  /**
   * Plays the standard days of deployments, one deployment after the other, and prints the changes.
   *
   * @param program path of the user benchmark
   * @param sites paths of the descriptions of the deployments
   * @param jobs number of days that are played at the same time
   * @param why reason of the run, for the journal
   * @return whether no day has lost more than the noise
   * @throws IOException if the benchmark cannot be run or the journal cannot be read
   */
  public boolean play(Path program, List<String> sites, int jobs, String why)
      throws IOException, InterruptedException {
    boolean sound = true;
    for (String site : sites) {
      Set<String> earlier =
          JournalEntry.readAll(journal).stream()
              .map(JournalEntry::file)
              .collect(Collectors.toSet());
      sound &= score(program, site, jobs, why) == 0;
      sound &= report(earlier);
    }
    return sound;
  }

  private static int score(Path program, String site, int jobs, String why)
      throws IOException, InterruptedException {
    List<String> command =
        List.of(program.toString(), "score", site, "--jobs", String.valueOf(jobs), "--why", why);
    return new ProcessBuilder(command).inheritIO().start().waitFor();
  }

  private boolean report(Set<String> earlier) throws IOException {
    List<JournalEntry> all = JournalEntry.readAll(journal);
    List<JournalEntry> before = all.stream().filter(e -> earlier.contains(e.file())).toList();
    List<JournalEntry> after = all.stream().filter(e -> !earlier.contains(e.file())).toList();
    List<Change> changes = changes(before, after);
    changes.forEach(
        c ->
            out.printf(
                "%-28s %-12s %.3f -> %.3f  %+.3f%s%n",
                c.site(),
                c.day(),
                c.before(),
                c.after(),
                c.after() - c.before(),
                c.isRegression() ? "  FELL" : ""));
    return changes.stream().noneMatch(Change::isRegression);
  }

  /** Compares the standard days of new entries with the newest earlier play of each. */
  static List<Change> changes(List<JournalEntry> before, List<JournalEntry> after) {
    Map<Day, Double> known = newestWorth(before);
    return newestWorth(after).entrySet().stream()
        .filter(d -> known.containsKey(d.getKey()))
        .map(
            d ->
                new Change(
                    d.getKey().site(), d.getKey().name(), known.get(d.getKey()), d.getValue()))
        .toList();
  }

  private static Map<Day, Double> newestWorth(List<JournalEntry> entries) {
    Map<Day, Double> worth = new LinkedHashMap<>();
    for (JournalEntry entry : entries) {
      if (entry.holdsStandardDays() && entry.chargesProcessorTime()) {
        entry.worth().entrySet().stream()
            .filter(d -> JournalEntry.isStandardDay(d.getKey()))
            .forEach(d -> worth.put(new Day(entry.site(), d.getKey()), d.getValue()));
      }
    }
    return worth;
  }
}
