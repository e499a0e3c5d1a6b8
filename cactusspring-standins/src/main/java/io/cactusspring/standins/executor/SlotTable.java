package io.cactusspring.standins.executor;

import java.util.ArrayList;
import java.util.List;

/** The slots and connections of one executor, with what began in them. Thread-safe. */
final class SlotTable {
  private final int slots;
  private final int maxConnections;
  private final List<Execution> history = new ArrayList<>();
  private int running;
  private int connections;
  private int peakRunning;
  private int peakConnections;

  SlotTable(int slots, int maxConnections) {
    this.slots = slots;
    this.maxConnections = maxConnections;
  }

  /** Takes a slot for an execution; returns false, and records nothing, when none is free. */
  synchronized boolean tryBegin(Execution execution) {
    if (running >= slots) {
      return false;
    }
    running++;
    peakRunning = Math.max(peakRunning, running);
    history.add(execution);
    return true;
  }

  synchronized void finish() {
    running--;
  }

  /** Counts a connection in; returns false when it exceeds the executor's figure. */
  synchronized boolean tryConnect() {
    connections++;
    if (connections > maxConnections) {
      return false;
    }
    peakConnections = Math.max(peakConnections, connections);
    return true;
  }

  synchronized void disconnect() {
    connections--;
  }

  synchronized List<Execution> history() {
    return List.copyOf(history);
  }

  synchronized ExecutorStats stats() {
    return new ExecutorStats(peakRunning, peakConnections, history.size());
  }
}
