package io.cactusspring.core.request;

import io.cactusspring.core.model.Arguments;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Weighted fair queue over teams (start-time fair queueing): while several teams wait, each is
 * served in proportion to its weight; items of one team keep their order. Not thread-safe.
 *
 * <pre>{@code
 * queue.add("counter", 4, request);
 * queue.peek(r -> true).ifPresent(r -> queue.take("counter"));
 * }</pre>
 *
 * @since 0.1
 */
public final class FairQueue<T> {
  private static final class Flow<T> {
    final Deque<T> items = new ArrayDeque<>();
    double startTag;
    int weight;
  }

  private final Map<String, Flow<T>> flows = new TreeMap<>();
  private double virtualTime;
  private int size;

  /**
   * Adds an item at the end of its team's queue.
   *
   * @throws IllegalArgumentException if the weight is not positive
   */
  public void add(String team, int weight, T item) {
    flow(team, weight).items.addLast(item);
    size++;
  }

  /**
   * Adds an item at the front of its team's queue.
   *
   * @throws IllegalArgumentException if the weight is not positive
   */
  public void addFirst(String team, int weight, T item) {
    flow(team, weight).items.addFirst(item);
    size++;
  }

  /**
   * Returns the next item without removing it.
   *
   * @param eligible whether the first item of a team may be served now; a team whose first item may
   *     not be served is skipped and accumulates no credit for that time
   */
  public Optional<T> peek(Predicate<T> eligible) {
    Flow<T> next = null;
    for (Flow<T> f : flows.values()) {
      if (f.items.isEmpty()) {
        continue;
      }
      if (!eligible.test(f.items.peekFirst())) {
        f.startTag = Math.max(f.startTag, virtualTime);
      } else if (next == null || f.startTag < next.startTag) {
        next = f;
      }
    }
    return Optional.ofNullable(next).map(f -> f.items.peekFirst());
  }

  /**
   * Removes the first item of a team and advances the team's start tag.
   *
   * @throws IllegalStateException if the team has no item
   */
  public T take(String team) {
    Flow<T> f = flows.get(team);
    if (f == null || f.items.isEmpty()) {
      throw new IllegalStateException("team " + team + " has nothing queued");
    }
    virtualTime = Math.max(virtualTime, f.startTag);
    f.startTag += 1.0 / f.weight;
    size--;
    T item = f.items.removeFirst();
    flows.values().removeIf(x -> x.items.isEmpty() && x.startTag <= virtualTime);
    return item;
  }

  /**
   * Removes an item at any position without advancing the team's start tag; returns whether the
   * item was queued.
   */
  public boolean remove(String team, T item) {
    Flow<T> f = flows.get(team);
    boolean removed = f != null && f.items.remove(item);
    size -= removed ? 1 : 0;
    return removed;
  }

  public int size() {
    return size;
  }

  public int size(String team) {
    Flow<T> f = flows.get(team);
    return f == null ? 0 : f.items.size();
  }

  /** Returns how many items are served before a new item of a team if no others arrive. */
  public int itemsBefore(String team, int weight) {
    double rounds = (size(team) + 1) / (double) weight;
    double sum = size(team);
    for (Map.Entry<String, Flow<T>> e : flows.entrySet()) {
      Flow<T> f = e.getValue();
      sum += e.getKey().equals(team) ? 0 : Math.min(f.items.size(), rounds * f.weight);
    }
    return (int) sum;
  }

  private Flow<T> flow(String team, int weight) {
    Arguments.checkRange("weight", weight, 1, Integer.MAX_VALUE);
    Flow<T> f = flows.computeIfAbsent(team, t -> new Flow<>());
    if (f.items.isEmpty()) {
      f.startTag = Math.max(f.startTag, virtualTime);
    }
    f.weight = weight;
    return f;
  }
}
