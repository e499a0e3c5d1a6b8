package io.cactusspring.daemon.request;

import io.cactusspring.core.request.AttemptOutcome;
import io.cactusspring.core.request.EndpointInFlight;
import io.cactusspring.core.request.EndpointShare;
import io.cactusspring.core.request.RequestSpec;
import io.cactusspring.core.request.RouterAction;
import io.cactusspring.core.request.ServiceRouter;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** Serializes access to the router of one service with a lock. No call blocks on I/O. */
final class SynchronizedServiceRouter {
  private final ReentrantLock lock = new ReentrantLock();
  private final ServiceRouter router;

  SynchronizedServiceRouter(ServiceRouter router) {
    this.router = router;
  }

  List<RouterAction> update(List<EndpointShare> endpoints) {
    return locked(
        () -> {
          long now = System.nanoTime();
          router.update(endpoints, now);
          return router.tick(now);
        });
  }

  List<RouterAction> offer(RequestSpec spec) {
    return locked(() -> router.offer(spec, System.nanoTime()));
  }

  List<RouterAction> attemptEnded(long ticket, int attempt, AttemptOutcome outcome) {
    return locked(() -> router.attemptEnded(ticket, attempt, outcome, System.nanoTime()));
  }

  List<RouterAction> abandon(long ticket) {
    return locked(() -> router.abandon(ticket, System.nanoTime()));
  }

  /** Ticks the router if requests wait. */
  List<RouterAction> tick() {
    return locked(() -> router.waiting() == 0 ? List.of() : router.tick(System.nanoTime()));
  }

  int waiting(String team) {
    return locked(() -> router.waiting(team));
  }

  List<EndpointInFlight> endpointLoads() {
    return locked(router::endpointLoads);
  }

  private <T> T locked(Supplier<T> step) {
    lock.lock();
    try {
      return step.get();
    } finally {
      lock.unlock();
    }
  }
}
