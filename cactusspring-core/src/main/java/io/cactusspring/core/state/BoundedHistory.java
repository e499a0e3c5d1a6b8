package io.cactusspring.core.state;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The most recently inserted entries; the oldest are evicted by count, never by time. */
final class BoundedHistory<V> {
  private final int capacity;
  private final LinkedHashMap<String, V> entries = new LinkedHashMap<>();

  BoundedHistory(int capacity) {
    this.capacity = capacity;
  }

  boolean contains(String id) {
    return entries.containsKey(id);
  }

  Optional<V> get(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  void put(String id, V value) {
    entries.put(id, value);
    if (entries.size() > capacity) {
      entries.pollFirstEntry();
    }
  }

  Map<String, V> entries() {
    return entries;
  }
}
