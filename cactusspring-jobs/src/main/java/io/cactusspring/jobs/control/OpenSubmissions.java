package io.cactusspring.jobs.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The submissions of this host of which a copy may be stored although the owner may not know the
 * job yet: those that are being answered, and those whose answer was not given by the owner.
 */
final class OpenSubmissions {
  /** As long as the owner remembers ended jobs. */
  private static final long RETENTION_MILLIS = 180_000;

  /** More than a host answers without the owner within the retention, at 90 jobs a second. */
  private static final int MAX_IN_DOUBT = 16_384;

  private final Map<String, Integer> open = new HashMap<>();
  private final Map<String, Long> inDoubt = new LinkedHashMap<>();
  private long allInDoubtUntil = Long.MIN_VALUE;

  /** Records that a request is being answered. */
  void begin(String id) {
    open.merge(id, 1, Integer::sum);
  }

  /** Records that a request was answered. */
  void end(String id) {
    open.computeIfPresent(id, (k, n) -> n == 1 ? null : n - 1);
  }

  /** Records that a submission may be stored, or may still be stored, without the owner. */
  void putInDoubt(String id, long now) {
    inDoubt.remove(id);
    inDoubt.put(id, now);
    var oldest = inDoubt.values().iterator();
    while (oldest.hasNext() && oldest.next() <= now - RETENTION_MILLIS) {
      oldest.remove();
    }
    if (inDoubt.size() > MAX_IN_DOUBT) {
      inDoubt.remove(inDoubt.keySet().iterator().next());
      allInDoubtUntil = now + RETENTION_MILLIS;
    }
  }

  /** Returns whether a request other than the current one may have stored a submission. */
  boolean mayBeStored(String id, long now) {
    Long since = inDoubt.get(id);
    return open.getOrDefault(id, 0) > 1
        || (since != null && now - since < RETENTION_MILLIS)
        || now < allInDoubtUntil;
  }
}
