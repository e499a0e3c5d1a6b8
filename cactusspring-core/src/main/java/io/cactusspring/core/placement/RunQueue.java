package io.cactusspring.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Waiting units of one team and urgency; groups that cannot start now are blocked. */
final class RunQueue {
  private final Map<Shape, RunGroup> groups = new HashMap<>();
  private final TreeSet<RunGroup> ready =
      new TreeSet<>(Comparator.comparingLong(RunGroup::headSequence));
  private final Set<RunGroup> blocked = new LinkedHashSet<>();
  private final Set<RunGroup> unchecked = new LinkedHashSet<>();

  void add(WaitingUnit unit) {
    Shape shape = unit.shape();
    RunGroup group = groups.computeIfAbsent(shape, this::newGroup);
    boolean wasBlocked = blocked.contains(group);
    if (!group.isEmpty() && !wasBlocked) {
      ready.remove(group);
    }
    group.add(unit);
    if (!wasBlocked) {
      ready.add(group);
    }
  }

  private RunGroup newGroup(Shape shape) {
    RunGroup group = new RunGroup(shape);
    unchecked.add(group);
    return group;
  }

  void remove(WaitingUnit unit) {
    RunGroup group = groups.get(unit.shape());
    boolean wasBlocked = blocked.contains(group);
    if (!wasBlocked) {
      ready.remove(group);
    }
    group.remove(unit);
    if (group.isEmpty()) {
      groups.remove(group.shape());
      blocked.remove(group);
      unchecked.remove(group);
      return;
    }
    if (!wasBlocked) {
      ready.add(group);
    }
  }

  boolean hasReady() {
    return !ready.isEmpty();
  }

  /** Returns the ready group whose head has waited longest; at least one group must be ready. */
  RunGroup firstReady() {
    return ready.first();
  }

  void block(RunGroup group) {
    ready.remove(group);
    blocked.add(group);
  }

  boolean isBlocked(Shape shape) {
    RunGroup group = groups.get(shape);
    return group != null && blocked.contains(group);
  }

  void unblockIf(Predicate<Shape> mayFit) {
    if (blocked.isEmpty()) {
      return;
    }
    List<RunGroup> unblocked = blocked.stream().filter(g -> mayFit.test(g.shape())).toList();
    unblocked.forEach(blocked::remove);
    ready.addAll(unblocked);
  }

  List<WaitingUnit> blockedHeads() {
    return blocked.stream().map(RunGroup::head).toList();
  }

  /** Returns and clears the groups not yet checked for feasibility, or returns all groups. */
  List<RunGroup> takeUnchecked(boolean all) {
    List<RunGroup> taken = List.copyOf(all ? groups.values() : unchecked);
    unchecked.clear();
    return taken;
  }

  void addUnchecked(RunGroup group) {
    unchecked.add(group);
  }
}
