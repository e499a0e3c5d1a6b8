package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleBiFunction;

/**
 * Workers that take work, in cells by available accelerators and processors, each cell ordered by
 * available memory. A search looks at a bounded number of fitting workers.
 */
final class WorkerIndex {
  private static final int MAX_CANDIDATES = 24;
  private static final int CANDIDATES_A_CELL = 4;
  private static final int STEPS_A_DOUBLING = 4;

  private final PlacementRules rules;
  private final ToDoubleBiFunction<WorkerState, Resources> score;
  private final boolean fullestFirst;
  private final NavigableMap<Integer, NavigableMap<Integer, TreeSet<Entry>>> cells =
      new TreeMap<>();
  private final Map<String, Entry> entries = new HashMap<>();

  /** Position of a worker, fixed until it is indexed again; the probe of a search has no worker. */
  private record Entry(
      int devices, long memory, String name, Resources available, WorkerState worker) {
    static final Comparator<Entry> ORDER =
        Comparator.comparingLong(Entry::memory).thenComparing(Entry::name);
  }

  /**
   * @param score the lower the better a fitting worker suits
   * @param fullestFirst whether candidates are looked for among the fullest or the emptiest
   */
  WorkerIndex(
      PlacementRules rules,
      ToDoubleBiFunction<WorkerState, Resources> score,
      boolean fullestFirst) {
    this.rules = rules;
    this.score = score;
    this.fullestFirst = fullestFirst;
  }

  void put(WorkerState worker) {
    remove(worker.name());
    Resources room = worker.available();
    int devices = deviceClass(worker);
    Entry entry = new Entry(devices, room.memoryMib(), worker.name(), room, worker);
    entries.put(worker.name(), entry);
    cells
        .computeIfAbsent(devices, k -> new TreeMap<>())
        .computeIfAbsent(level(room.milliProcessors()), k -> new TreeSet<>(Entry.ORDER))
        .add(entry);
  }

  void remove(String name) {
    Entry entry = entries.remove(name);
    if (entry == null) {
      return;
    }
    int level = level(entry.available.milliProcessors());
    NavigableMap<Integer, TreeSet<Entry>> levels = cells.get(entry.devices);
    TreeSet<Entry> cell = levels.get(level);
    cell.remove(entry);
    if (cell.isEmpty()) {
      levels.remove(level);
    }
    if (levels.isEmpty()) {
      cells.remove(entry.devices);
    }
  }

  /** Finds the fitting worker of the lowest score among the candidates. */
  Optional<WorkerState> find(Resources need) {
    int devices = need.accelerators() == 0 ? 0 : need.accelerators() + 1;
    for (NavigableMap<Integer, TreeSet<Entry>> levels : cells.tailMap(devices, true).values()) {
      WorkerState best = bestOf(levels, need);
      if (best != null) {
        return Optional.of(best);
      }
    }
    return Optional.empty();
  }

  private WorkerState bestOf(NavigableMap<Integer, TreeSet<Entry>> levels, Resources need) {
    NavigableMap<Integer, TreeSet<Entry>> high =
        levels.tailMap(level(need.milliProcessors()), true);
    Candidates candidates = new Candidates();
    for (TreeSet<Entry> cell : (fullestFirst ? high : high.descendingMap()).values()) {
      offerFrom(cell, need, candidates);
      if (candidates.seen >= MAX_CANDIDATES) {
        break;
      }
    }
    return candidates.best;
  }

  private void offerFrom(TreeSet<Entry> cell, Resources need, Candidates candidates) {
    int enough = candidates.seen + CANDIDATES_A_CELL;
    for (Entry entry : inOrder(cell, new Entry(0, need.memoryMib(), "", need, null))) {
      if (rules.fits(need, entry.available)) {
        candidates.offer(entry.worker, score.applyAsDouble(entry.worker, need));
      }
      if (candidates.seen == enough) {
        return;
      }
    }
  }

  /** The best of the fitting workers seen in a search. */
  private static final class Candidates {
    private WorkerState best;
    private double bestScore = Double.POSITIVE_INFINITY;
    private int seen;

    void offer(WorkerState worker, double score) {
      seen++;
      if (score < bestScore) {
        best = worker;
        bestScore = score;
      }
    }
  }

  private Iterable<Entry> inOrder(TreeSet<Entry> cell, Entry probe) {
    var fitting = cell.tailSet(probe, true);
    return fullestFirst ? fitting : fitting.descendingSet();
  }

  /** Workers without accelerators come first, then those with accelerators by how many are left. */
  private static int deviceClass(WorkerState worker) {
    return worker.total().accelerators() == 0 ? 0 : worker.available().accelerators() + 1;
  }

  private static int level(long amount) {
    if (amount < STEPS_A_DOUBLING) {
      return (int) amount;
    }
    int exponent = Long.SIZE - 1 - Long.numberOfLeadingZeros(amount);
    int step = (int) (amount >> (exponent - 2)) & (STEPS_A_DOUBLING - 1);
    return exponent * STEPS_A_DOUBLING + step;
  }
}
