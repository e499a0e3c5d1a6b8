package io.cactusspring.standins.executor;

import java.util.ArrayList;
import java.util.List;

/** Tracks the slots, connections and execution history of one executor. Thread-safe. */
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

  /** Acquires a slot for an execution; returns false and records nothing if none is free. */
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

  /**
   * Counts a new connection and returns false if it exceeds the maximum. A connection over the
   * maximum also counts as open until {@link #disconnect()}.
   */
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
