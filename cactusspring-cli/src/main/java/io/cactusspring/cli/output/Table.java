package io.cactusspring.cli.output;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Text in aligned columns.
 *
 * <pre>{@code
 * String text = Table.of("WORKER", "TASKS").row("w1", 3).toString();
 * }</pre>
 *
 * @since 0.1
 */
public final class Table {
  private static final String GAP = "  ";

  private final List<String> header;
  private final List<List<String>> rows = new ArrayList<>();

  private Table(List<String> header) {
    this.header = header;
  }

  public static Table of(String... header) {
    return new Table(List.of(header));
  }

  /**
   * Adds a row.
   *
   * @throws IllegalArgumentException if it has more or fewer cells than the header
   */
  public Table row(Object... cells) {
    if (cells.length != header.size()) {
      throw new IllegalArgumentException(
          "row has " + cells.length + " cells; expected " + header.size());
    }
    rows.add(Arrays.stream(cells).map(Table::text).toList());
    return this;
  }

  private static String text(Object cell) {
    return cell == null ? "-" : cell.toString().replaceAll("\\p{Cntrl}", "?");
  }

  @Override
  public String toString() {
    List<Integer> widths = IntStream.range(0, header.size()).mapToObj(this::width).toList();
    return Stream.concat(Stream.of(header), rows.stream())
        .map(row -> line(row, widths))
        .collect(Collectors.joining(System.lineSeparator()));
  }

  private int width(int column) {
    return Stream.concat(Stream.of(header), rows.stream())
        .mapToInt(r -> r.get(column).length())
        .max()
        .orElse(0);
  }

  private static String line(List<String> row, List<Integer> widths) {
    return IntStream.range(0, row.size())
        .mapToObj(i -> row.get(i) + " ".repeat(widths.get(i) - row.get(i).length()))
        .collect(Collectors.joining(GAP))
        .stripTrailing();
  }
}
