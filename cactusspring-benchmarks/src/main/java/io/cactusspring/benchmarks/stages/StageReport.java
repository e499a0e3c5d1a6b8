package io.cactusspring.benchmarks.stages;

import io.cactusspring.benchmarks.Table;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler;

/** Tables and a plot of where the time of jobs went, by queue, organisation and second. */
public final class StageReport {
  private static final int WIDTH = 1_100;
  private static final int HEIGHT = 460;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final double HIGH_PERCENTILE = 0.95;

  private final List<JobTrace> jobs;
  private final List<String> stages;

  private StageReport(List<JobTrace> jobs) {
    this.jobs = List.copyOf(jobs);
    Set<String> names = new LinkedHashSet<>();
    jobs.forEach(j -> names.addAll(j.stageMillis().keySet()));
    stages = List.copyOf(names);
  }

  /**
   * Reads the logs of entry hosts; lines that do not tell of the end of a job are passed over.
   *
   * @throws IOException if a file cannot be read
   */
  public static StageReport read(List<Path> files) throws IOException {
    List<JobTrace> jobs = new ArrayList<>();
    for (Path file : files) {
      try (Stream<String> lines = Files.lines(file)) {
        lines.flatMap(l -> JobTrace.parse(l).stream()).forEach(jobs::add);
      } catch (UncheckedIOException e) {
        throw new IOException(file + ": " + problem(e.getCause()), e);
      }
    }
    return new StageReport(jobs);
  }

  private static String problem(IOException e) {
    return e instanceof MalformedInputException ? "is not text in UTF-8" : e.getMessage();
  }

  /** Returns the number of jobs that were read. */
  public int size() {
    return jobs.size();
  }

  /** Prints the tables. */
  public void print(PrintStream out) {
    table("queue", JobTrace::queue, j -> true)
        .print(out, "all jobs by queue; mean milliseconds by stage");
    table("queue", JobTrace::queue, j -> j.outcome() == JobTrace.Outcome.LATE)
        .print(out, "late jobs by queue; mean milliseconds by stage");
    table("organisation", JobTrace::organisation, j -> true)
        .print(out, "all jobs by organisation; mean milliseconds by stage");
    table("second", j -> String.format("%4d", second(j)), j -> true)
        .print(out, "all jobs by the second of their submission; mean milliseconds by stage");
  }

  private Table table(String name, Function<JobTrace, String> group, Predicate<JobTrace> which) {
    List<String> columns = new ArrayList<>(List.of(name, "jobs", "in time", "late", "failed"));
    columns.addAll(List.of("cancelled", "mean", "95%"));
    columns.addAll(stages);
    Table table = new Table("stages-" + name, columns.toArray(String[]::new));
    Map<String, List<JobTrace>> groups =
        jobs.stream()
            .filter(which)
            .collect(Collectors.groupingBy(group, TreeMap::new, Collectors.toList()));
    groups.forEach((key, members) -> table.add(row(key, members)));
    return table;
  }

  private String[] row(String key, List<JobTrace> members) {
    List<String> cells = new ArrayList<>();
    cells.add(key);
    cells.add(String.valueOf(members.size()));
    for (JobTrace.Outcome outcome : JobTrace.Outcome.values()) {
      cells.add(String.valueOf(members.stream().filter(j -> j.outcome() == outcome).count()));
    }
    cells.add(String.valueOf(mean(members, JobTrace::millis)));
    cells.add(String.valueOf(highPercentile(members)));
    stages.forEach(
        s -> cells.add(String.valueOf(mean(members, j -> j.stageMillis().getOrDefault(s, 0L)))));
    return cells.toArray(String[]::new);
  }

  private static long mean(Collection<JobTrace> members, Function<JobTrace, Long> value) {
    return Math.round(members.stream().mapToLong(value::apply).average().orElse(0));
  }

  private static long highPercentile(List<JobTrace> members) {
    List<Long> sorted = members.stream().map(JobTrace::millis).sorted().toList();
    return sorted.get((int) Math.min(sorted.size() - 1, HIGH_PERCENTILE * sorted.size()));
  }

  /** Returns the second of a job's submission, from that of the first job on. */
  private long second(JobTrace job) {
    long first = jobs.stream().mapToLong(JobTrace::submittedAt).min().orElse(0);
    return (job.submittedAt() - first) / MILLIS_PER_SECOND;
  }

  /**
   * Writes {@code stages.png}: mean time in each stage by the second of the submission.
   *
   * @throws IOException if the image cannot be written
   */
  public void plot(Path directory) throws IOException {
    Map<Long, List<JobTrace>> bySecond =
        jobs.stream()
            .collect(Collectors.groupingBy(this::second, TreeMap::new, Collectors.toList()));
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("where the time of jobs went")
            .xAxisTitle("second of the submission")
            .yAxisTitle("mean milliseconds")
            .build();
    chart.getStyler().setStacked(true);
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
    for (String stage : stages) {
      chart.addSeries(
          stage,
          List.copyOf(bySecond.keySet()),
          bySecond.values().stream()
              .map(m -> mean(m, j -> j.stageMillis().getOrDefault(stage, 0L)))
              .toList());
    }
    Files.createDirectories(directory);
    BitmapEncoder.saveBitmap(
        chart, directory.resolve("stages").toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
