package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Urgency;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Queues, running tasks and resource usage of a team in one shard. */
final class TeamState {
  private final String name;
  private final Map<Urgency, RunQueue> queues = new EnumMap<>(Urgency.class);

  /** Tasks that may be preempted for other teams, oldest first. */
  private final Set<TaskState> preemptible = new LinkedHashSet<>();

  private int share;
  private int lastBudget = Integer.MAX_VALUE;
  private Resources used = Resources.NONE;

  /** Total for which the dominant share was computed; null if it has to be recomputed. */
  private Resources dominantShareTotal;

  private double dominantShare;
  private int running;
  private int waiting;

  TeamState(String name, int share) {
    this.name = name;
    this.share = share;
    for (Urgency urgency : Urgency.values()) {
      queues.put(urgency, new RunQueue());
    }
  }

  String name() {
    return name;
  }

  int share() {
    return share;
  }

  void setShare(int value) {
    share = value;
  }

  /** Budget of the last decision round that queried it. */
  int lastBudget() {
    return lastBudget;
  }

  void setLastBudget(int value) {
    lastBudget = value;
  }

  RunQueue queue(Urgency urgency) {
    return queues.get(urgency);
  }

  Iterable<RunQueue> queues() {
    return queues.values();
  }

  int running() {
    return running;
  }

  int waiting() {
    return waiting;
  }

  void addWaiting(int runs) {
    waiting += runs;
  }

  void taskStarted(TaskState task) {
    used = used.plus(task.resources());
    dominantShareTotal = null;
    running++;
    if (task.isPreemptible()) {
      preemptible.add(task);
    }
  }

  void taskEnded(TaskState task) {
    used = used.minus(task.resources());
    dominantShareTotal = null;
    running--;
    preemptible.remove(task);
  }

  void markVictim(TaskState task) {
    preemptible.remove(task);
  }

  Iterable<TaskState> preemptible() {
    return preemptible;
  }

  double dominantShare(Resources total) {
    if (dominantShareTotal != total) {
      dominantShareTotal = total;
      dominantShare = used.dominantShareOf(total);
    }
    return dominantShare;
  }

  /** Returns the dominant share per unit of weight; the team with the lowest is served first. */
  double weightedShare(Resources total) {
    return dominantShare(total) / share;
  }
}
