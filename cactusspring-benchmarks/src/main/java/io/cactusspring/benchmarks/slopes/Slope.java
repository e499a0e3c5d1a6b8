package io.cactusspring.benchmarks.slopes;

import io.cactusspring.core.model.Arguments;
import java.util.List;

/**
 * Measurements of one cost at several sizes, and their least-squares line.
 *
 * @param name name of the plot file and of the table row
 * @param role role that incurs the cost
 * @param size description of the unit that the size counts
 * @param cost description of the measured cost, with its unit
 */
record Slope(String name, String role, String size, String cost, List<Point> points) {
  private static final int MIN_POINTS = 3;

  /**
   * @throws IllegalArgumentException if there are fewer than three points
   */
  Slope {
    points = List.copyOf(points);
    Arguments.checkRange("points of " + name, points.size(), MIN_POINTS, Integer.MAX_VALUE);
  }

  private double meanSize() {
    return points.stream().mapToDouble(Point::size).average().orElseThrow();
  }

  private double meanCost() {
    return points.stream().mapToDouble(Point::cost).average().orElseThrow();
  }

  /** Returns the slope of the line: the additional cost of one more unit of size. */
  double costPerUnit() {
    double x = meanSize();
    double y = meanCost();
    double products = points.stream().mapToDouble(p -> (p.size() - x) * (p.cost() - y)).sum();
    double squares = points.stream().mapToDouble(p -> (p.size() - x) * (p.size() - x)).sum();
    return products / squares;
  }

  /** Returns the intercept of the line: the cost at size 0. */
  double costAtZero() {
    return meanCost() - costPerUnit() * meanSize();
  }

  /** Returns the cost at a size according to the line. */
  double costAt(double size) {
    return costAtZero() + costPerUnit() * size;
  }

  /** Returns the largest distance of a point from the line, relative to the line's value there. */
  double largestResidual() {
    return points.stream()
        .mapToDouble(p -> Math.abs(p.cost() - costAt(p.size())) / Math.abs(costAt(p.size())))
        .max()
        .orElseThrow();
  }
}
