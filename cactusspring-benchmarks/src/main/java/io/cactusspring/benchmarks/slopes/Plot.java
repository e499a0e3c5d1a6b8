package io.cactusspring.benchmarks.slopes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots the points and the fitted line of a slope. */
final class Plot {
  private static final int WIDTH = 560;
  private static final int HEIGHT = 340;

  private Plot() {}

  /**
   * Writes {@code NAME.png}.
   *
   * @throws IOException if the file can't be written
   */
  static void write(Slope slope, Path directory) throws IOException {
    Files.createDirectories(directory);
    BitmapEncoder.saveBitmap(
        chart(slope), directory.resolve(slope.name()).toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static XYChart chart(Slope slope) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(slope.name())
            .xAxisTitle(slope.size())
            .yAxisTitle(slope.cost())
            .build();
    chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNW);
    double[] sizes = slope.points().stream().mapToDouble(Point::size).toArray();
    double[] costs = slope.points().stream().mapToDouble(Point::cost).toArray();
    chart
        .addSeries("measured", sizes, costs)
        .setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
    double last = sizes[sizes.length - 1];
    chart
        .addSeries(
            "fitted", new double[] {0, last}, new double[] {slope.costAtZero(), slope.costAt(last)})
        .setMarker(SeriesMarkers.NONE);
    return chart;
  }
}
