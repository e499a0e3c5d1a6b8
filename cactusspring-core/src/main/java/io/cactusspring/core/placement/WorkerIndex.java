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
 * Index of the workers that receive new tasks, bucketed by available accelerators and processors.
 * Each bucket is ordered by available memory. A search examines a bounded number of workers on
 * which the task fits.
 */
final class WorkerIndex {
  private static final int MAX_CANDIDATES = 24;
  private static final int CANDIDATES_PER_BUCKET = 4;
  private static final int BUCKETS_PER_DOUBLING = 4;

  private final PlacementRules rules;
  private final ToDoubleBiFunction<WorkerState, Resources> score;
  private final boolean fullestFirst;
  private final NavigableMap<Integer, NavigableMap<Integer, TreeSet<Entry>>> buckets =
      new TreeMap<>();
  private final Map<String, Entry> entries = new HashMap<>();

  /** Sort key of an indexed worker, fixed until it is reindexed; a search key has no worker. */
  private record Entry(
      int acceleratorClass, long memory, String name, Resources available, WorkerState worker) {
    static final Comparator<Entry> ORDER =
        Comparator.comparingLong(Entry::memory).thenComparing(Entry::name);
  }

  /**
   * @param score score of a worker on which a task fits; lower is better
   * @param fullestFirst whether a search starts at the fullest workers instead of the emptiest
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
    int acceleratorClass = acceleratorClass(worker);
    Entry entry = new Entry(acceleratorClass, room.memoryMib(), worker.name(), room, worker);
    entries.put(worker.name(), entry);
    buckets
        .computeIfAbsent(acceleratorClass, k -> new TreeMap<>())
        .computeIfAbsent(processorClass(room.milliProcessors()), k -> new TreeSet<>(Entry.ORDER))
        .add(entry);
  }

  void remove(String name) {
    Entry entry = entries.remove(name);
    if (entry == null) {
      return;
    }
    int processorClass = processorClass(entry.available.milliProcessors());
    NavigableMap<Integer, TreeSet<Entry>> bucketsByProcessors = buckets.get(entry.acceleratorClass);
    TreeSet<Entry> bucket = bucketsByProcessors.get(processorClass);
    bucket.remove(entry);
    if (bucket.isEmpty()) {
      bucketsByProcessors.remove(processorClass);
    }
    if (bucketsByProcessors.isEmpty()) {
      buckets.remove(entry.acceleratorClass);
    }
  }

  /** Returns the candidate with the lowest score; empty if the task fits on no worker. */
  Optional<WorkerState> find(Resources need) {
    int acceleratorClass = need.accelerators() == 0 ? 0 : need.accelerators() + 1;
    for (NavigableMap<Integer, TreeSet<Entry>> bucketsByProcessors :
        buckets.tailMap(acceleratorClass, true).values()) {
      WorkerState best = bestOf(bucketsByProcessors, need);
      if (best != null) {
        return Optional.of(best);
      }
    }
    return Optional.empty();
  }

  private WorkerState bestOf(
      NavigableMap<Integer, TreeSet<Entry>> bucketsByProcessors, Resources need) {
    NavigableMap<Integer, TreeSet<Entry>> sufficient =
        bucketsByProcessors.tailMap(processorClass(need.milliProcessors()), true);
    Candidates candidates = new Candidates();
    for (TreeSet<Entry> bucket :
        (fullestFirst ? sufficient : sufficient.descendingMap()).values()) {
      offerFrom(bucket, need, candidates);
      if (candidates.seen >= MAX_CANDIDATES) {
        break;
      }
    }
    return candidates.best;
  }

  private void offerFrom(TreeSet<Entry> bucket, Resources need, Candidates candidates) {
    int limit = candidates.seen + CANDIDATES_PER_BUCKET;
    for (Entry entry : inOrder(bucket, new Entry(0, need.memoryMib(), "", need, null))) {
      if (rules.fits(need, entry.available)) {
        candidates.offer(entry.worker, score.applyAsDouble(entry.worker, need));
      }
      if (candidates.seen == limit) {
        return;
      }
    }
  }

  /** The best of the workers examined in a search on which the task fits. */
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

  private Iterable<Entry> inOrder(TreeSet<Entry> bucket, Entry lowerBound) {
    var fitting = bucket.tailSet(lowerBound, true);
    return fullestFirst ? fitting : fitting.descendingSet();
  }

  /** Sorts workers without accelerators first, then by the number of available accelerators. */
  private static int acceleratorClass(WorkerState worker) {
    return worker.total().accelerators() == 0 ? 0 : worker.available().accelerators() + 1;
  }

  private static int processorClass(long amount) {
    if (amount < BUCKETS_PER_DOUBLING) {
      return (int) amount;
    }
    int exponent = Long.SIZE - 1 - Long.numberOfLeadingZeros(amount);
    int step = (int) (amount >> (exponent - 2)) & (BUCKETS_PER_DOUBLING - 1);
    return exponent * BUCKETS_PER_DOUBLING + step;
  }
}
