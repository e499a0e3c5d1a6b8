package io.cactusspring.daemon.request;

import io.cactusspring.core.request.RequestSpec;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Ids of the requests in flight, so that a non-idempotent request that is sent twice at the same
 * time runs only once. Thread-safe.
 */
final class InFlightIds {
  private record Key(String team, String id) {}

  private record Usage(boolean idempotent, int count) {}

  private final Map<Key, Usage> uses = new ConcurrentHashMap<>();

  /**
   * Registers a request. Returns false if its id is in flight already and one of the two requests
   * is not idempotent.
   */
  boolean tryAcquire(RequestSpec spec) {
    boolean[] acquired = new boolean[1];
    uses.compute(
        key(spec),
        (k, u) -> {
          acquired[0] = u == null || (u.idempotent() && spec.idempotent());
          int count = u == null ? 1 : u.count() + 1;
          return acquired[0] ? new Usage(spec.idempotent(), count) : u;
        });
    return acquired[0];
  }

  void release(RequestSpec spec) {
    uses.computeIfPresent(
        key(spec), (k, u) -> u.count() == 1 ? null : new Usage(u.idempotent(), u.count() - 1));
  }

  private static Key key(RequestSpec spec) {
    return new Key(spec.team(), spec.id());
  }
}
