package io.cactusspring.benchmarks;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Table of text cells that can be printed in aligned columns or written as CSV. */
public final class Table {
  private final String name;
  private final List<String> columns;
  private final List<List<String>> rows = new ArrayList<>();

  /**
   * @param name name of the CSV file, without its extension
   */
  public Table(String name, String... columns) {
    this.name = name;
    this.columns = List.of(columns);
  }

  /**
   * Adds a row.
   *
   * @throws IllegalArgumentException if the number of cells differs from the number of columns
   */
  public void add(String... cells) {
    if (cells.length != columns.size()) {
      throw new IllegalArgumentException(
          "row has " + cells.length + " cells; expected " + columns.size());
    }
    rows.add(List.of(cells));
  }

  /** Prints the table with a heading. */
  public void print(PrintStream out, String heading) {
    out.println();
    out.println(heading);
    out.println(line(columns));
    rows.forEach(r -> out.println(line(r)));
  }

  private String line(List<String> cells) {
    return IntStream.range(0, cells.size())
        .mapToObj(i -> pad(cells.get(i), width(i), i == 0))
        .collect(Collectors.joining("  "))
        .stripTrailing();
  }

  private int width(int column) {
    int widest = columns.get(column).length();
    for (List<String> row : rows) {
      widest = Math.max(widest, row.get(column).length());
    }
    return widest;
  }

  private static String pad(String cell, int width, boolean left) {
    return String.format(left ? "%-" + width + "s" : "%" + width + "s", cell);
  }

  /**
   * Writes the table as {@code NAME.csv}.
   *
   * @throws IOException if the file can't be written
   */
  public void write(Path directory) throws IOException {
    Files.createDirectories(directory);
    List<String> lines = new ArrayList<>();
    lines.add(String.join(",", columns));
    rows.forEach(r -> lines.add(String.join(",", r)));
    Files.write(directory.resolve(name + ".csv"), lines);
  }
}
