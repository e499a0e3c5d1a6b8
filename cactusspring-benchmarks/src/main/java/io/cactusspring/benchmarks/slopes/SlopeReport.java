package io.cactusspring.benchmarks.slopes;

import io.cactusspring.benchmarks.Table;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Measures, prints and plots all slopes and computes the cost at the target sizes from them. */
public final class SlopeReport {
  private final Path csv;
  private final Path plots;

  public SlopeReport(Path csv, Path plots) {
    this.csv = csv;
    this.plots = plots;
  }

  /**
   * Runs all measurements and writes the tables and plots.
   *
   * @throws IOException if a file can't be written
   */
  public void run(PrintStream out) throws IOException {
    List<Slope> slopes =
        Stream.of(
                StateSlopes.measure(),
                RecordSlopes.measure(),
                HeartbeatSlopes.measure(),
                SyncSlopes.measure(),
                SpeedSlopes.measure())
            .flatMap(List::stream)
            .toList();
    Table table =
        new Table("slopes", "slope", "role", "size", "cost", "points", "base", "each", "residual");
    for (Slope slope : slopes) {
      table.add(row(slope));
      Plot.write(slope, plots);
    }
    table.print(out, "Slopes: cost = base + each * size");
    table.write(csv);
    Capacity capacity = new Capacity(slopes);
    capacity.table().print(out, "At the sizes of the target");
    capacity.table().write(csv);
  }

  private static String[] row(Slope slope) {
    String points =
        slope.points().stream()
            .map(p -> number(p.size()) + ":" + number(p.cost()))
            .collect(Collectors.joining(" "));
    return new String[] {
      slope.name(),
      slope.role(),
      slope.size().replace(',', ';'),
      slope.cost(),
      points,
      number(slope.costAtZero()),
      number(slope.costPerUnit()),
      String.format(Locale.ROOT, "%.1f%%", slope.largestResidual() * 100)
    };
  }

  static String number(double value) {
    double size = Math.abs(value);
    if (size >= 100 || value == Math.rint(value)) {
      return String.format(Locale.ROOT, "%.0f", value);
    }
    return String.format(Locale.ROOT, size >= 1 ? "%.2f" : "%.4f", value);
  }
}
