package io.cactusspring.benchmarks.slopes;

import io.cactusspring.core.model.Arguments;
import java.util.List;

/**
 * Measurements of one cost at several sizes, and the straight line that fits them best.
 *
 * @param name name of the plot and of the rows
 * @param role role whose cost it is
 * @param size what the size counts
 * @param cost what is measured, with its unit
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

  /** Returns the cost that one more costs, by least squares. */
  double costPerUnit() {
    double x = meanSize();
    double y = meanCost();
    double products = points.stream().mapToDouble(p -> (p.size() - x) * (p.cost() - y)).sum();
    double squares = points.stream().mapToDouble(p -> (p.size() - x) * (p.size() - x)).sum();
    return products / squares;
  }

  /** Returns the cost at size 0. */
  double costAtZero() {
    return meanCost() - costPerUnit() * meanSize();
  }

  /** Returns the cost that the line gives for a size. */
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
