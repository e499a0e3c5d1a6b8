package io.cactusspring.benchmarks.rounds;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/** Plots the worth of each standard day over the entries of the journal, one image per site. */
public final class RoundsPlot {
  private static final int WIDTH = 760;
  private static final int HEIGHT = 420;

  private record Point(int entry, double worth) {}

  private RoundsPlot() {}

  /**
   * Reads all entries of a journal and writes {@code SITE.png} for each site.
   *
   * @throws IOException if an entry can't be read or an image can't be written
   */
  public static void write(Path journal, Path directory) throws IOException {
    Map<String, Map<String, List<Point>>> sites = new TreeMap<>();
    List<JournalEntry> entries = JournalEntry.readAll(journal);
    for (int i = 0; i < entries.size(); i++) {
      if (entries.get(i).holdsStandardDays()) {
        add(entries.get(i), i + 1, sites);
      }
    }
    Files.createDirectories(directory);
    for (Map.Entry<String, Map<String, List<Point>>> site : sites.entrySet()) {
      BitmapEncoder.saveBitmap(
          chart(site.getKey(), site.getValue()),
          directory.resolve(site.getKey()).toString(),
          BitmapEncoder.BitmapFormat.PNG);
    }
  }

  private static void add(
      JournalEntry entry, int number, Map<String, Map<String, List<Point>>> sites) {
    entry
        .worth()
        .forEach(
            (day, worth) -> {
              if (JournalEntry.isStandardDay(day)) {
                sites
                    .computeIfAbsent(entry.site(), s -> new TreeMap<>())
                    .computeIfAbsent(day, d -> new ArrayList<>())
                    .add(new Point(number, worth));
              }
            });
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
