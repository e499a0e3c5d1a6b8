package io.cactusspring.benchmarks;

import java.util.Locale;

/** Compares measured figures with their goals and marks each as met or missed. */
final class Goals {
  private final Table table = new Table("goals", "goal", "wanted", "measured", "result");

  void atLeast(String goal, double wanted, double measured, String unit) {
    add(goal, ">= " + format(wanted, unit), format(measured, unit), measured >= wanted);
  }

  void atMost(String goal, double wanted, double measured, String unit) {
    add(goal, "<= " + format(wanted, unit), format(measured, unit), measured <= wanted);
  }

  private void add(String goal, String wanted, String measured, boolean met) {
    table.add(goal, wanted, measured, met ? "met" : "MISSED");
  }

  private static String format(double value, String unit) {
    String pattern = Math.abs(value) >= 100 ? "%.0f" : "%.3f";
    return String.format(Locale.ROOT, pattern + " %s", value, unit).strip();
  }

  Table table() {
    return table;
  }
}
