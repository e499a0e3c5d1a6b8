package io.cactusspring.core.placement;

import java.util.TreeMap;

/** Waiting units of one team, urgency and shape, in arrival order. */
final class RunGroup {
  private final Shape shape;
  private final TreeMap<Long, WaitingUnit> units = new TreeMap<>();

  RunGroup(Shape shape) {
    this.shape = shape;
  }

  Shape shape() {
    return shape;
  }

  void add(WaitingUnit unit) {
    units.put(unit.sequence(), unit);
  }

  void remove(WaitingUnit unit) {
    units.remove(unit.sequence());
  }

  WaitingUnit head() {
    return units.firstEntry().getValue();
  }

  long headSequence() {
    return units.firstKey();
  }

  boolean isEmpty() {
    return units.isEmpty();
  }
}
