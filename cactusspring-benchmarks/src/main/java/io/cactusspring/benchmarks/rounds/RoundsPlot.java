package io.cactusspring.benchmarks.rounds;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/** Plots the worth of each standard day over the entries of the journal, one image per site. */
public final class RoundsPlot {
  private static final int WIDTH = 760;
  private static final int HEIGHT = 420;

  /** Names of standard days; days of fault searches and incidents are excluded. */
  private static final Pattern STANDARD_DAY = Pattern.compile("(quiet|trouble|scale)-[0-9]+");

  /**
   * Commands whose entries hold standard days. Entries of runs with an explicit seed or end are
   * excluded.
   */
  private static final List<String> STANDARD_COMMANDS = List.of("run", "score");

  private record Point(int entry, double worth) {}

  private RoundsPlot() {}

  /**
   * Reads all entries of a journal and writes {@code SITE.png} for each site.
   *
   * @throws IOException if an entry can't be read or an image can't be written
   */
  public static void write(Path journal, Path directory) throws IOException {
    Map<String, Map<String, List<Point>>> sites = new TreeMap<>();
    List<Path> entries;
    try (Stream<Path> files = Files.list(journal)) {
      entries = files.filter(f -> f.toString().endsWith(".json")).sorted().toList();
    }
    ObjectMapper json = new ObjectMapper();
    for (int i = 0; i < entries.size(); i++) {
      add(json.readTree(entries.get(i).toFile()), i + 1, sites);
    }
    Files.createDirectories(directory);
    for (Map.Entry<String, Map<String, List<Point>>> site : sites.entrySet()) {
      BitmapEncoder.saveBitmap(
          chart(site.getKey(), site.getValue()),
          directory.resolve(site.getKey()).toString(),
          BitmapEncoder.BitmapFormat.PNG);
    }
  }

  private static void add(JsonNode entry, int number, Map<String, Map<String, List<Point>>> sites) {
    boolean seeded = Stream.of("--seed", "--until").anyMatch(o -> hasArgument(entry, o));
    if (seeded || !STANDARD_COMMANDS.contains(entry.path("cmd").asText())) {
      return;
    }
    for (JsonNode day : entry.path("days")) {
      String name = day.path("name").asText();
      if (STANDARD_DAY.matcher(name).matches()) {
        sites
            .computeIfAbsent(entry.path("site").asText(), s -> new TreeMap<>())
            .computeIfAbsent(name, d -> new ArrayList<>())
            .add(new Point(number, day.path("G").asDouble()));
      }
    }
  }

  private static boolean hasArgument(JsonNode entry, String option) {
    for (JsonNode argument : entry.path("argv")) {
      if (argument.asText().equals(option)) {
        return true;
      }
    }
    return false;
  }

  private static XYChart chart(String site, Map<String, List<Point>> days) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(site)
            .xAxisTitle("entry of the journal")
            .yAxisTitle("worth")
            .build();
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
    days.forEach(
        (day, points) ->
            chart.addSeries(
                day,
                points.stream().mapToDouble(Point::entry).toArray(),
                points.stream().mapToDouble(Point::worth).toArray()));
    return chart;
  }
}
