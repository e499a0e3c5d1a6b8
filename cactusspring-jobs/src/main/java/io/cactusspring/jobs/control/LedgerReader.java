package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.port.KeyedTopic;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the jobs from the store, for a host that cannot ask the owner. Reads that are requested
 * while one is in progress share the next one.
 */
final class LedgerReader {
  private final List<KeyedTopic> lanes;
  private final List<KeyedTopic> inbox;
  private boolean reading;
  private Optional<Promise<LedgerSnapshot>> next = Optional.empty();

  LedgerReader(List<KeyedTopic> lanes, List<KeyedTopic> inbox) {
    this.lanes = lanes;
    this.inbox = inbox;
  }

  /**
   * Returns a job as stored at the time of the call or later; empty if it does not exist. Fails
   * with a {@link io.cactusspring.jobs.port.StoreException} if the store cannot be read.
   */
  Future<Optional<JobEntry>> job(String id) {
    return read()
        .compose(
            first ->
                first.job(id).isPresent()
                    ? Future.succeededFuture(first.job(id))
                    // Its records may have moved from one lane to another during the first read.
                    : read().map(second -> second.job(id)));
  }

  /** Reads all jobs as stored at the time of the call or later. */
  Future<LedgerSnapshot> read() {
    if (next.isEmpty()) {
      next = Optional.of(Promise.promise());
    }
    Future<LedgerSnapshot> result = next.get().future();
    startNext();
    return result;
  }

  private void startNext() {
    if (reading || next.isEmpty()) {
      return;
    }
    reading = true;
    Promise<LedgerSnapshot> promise = next.get();
    next = Optional.empty();
    load()
        .onComplete(
            result -> {
              reading = false;
              startNext();
              promise.handle(result);
            });
  }

  private Future<LedgerSnapshot> load() {
    LedgerSnapshot snapshot = new LedgerSnapshot();
    List<Future<Void>> loads = new ArrayList<>();
    for (int i = 0; i < lanes.size(); i++) {
      int lane = i;
      loads.add(
          PageLoader.load(lanes.get(i))
              .map(
                  page -> {
                    page.entries().forEach(e -> snapshot.applyLane(lane, e));
                    return null;
                  }));
    }
    inbox.forEach(
        partition ->
            loads.add(
                PageLoader.load(partition)
                    .map(
                        page -> {
                          page.entries().forEach(snapshot::applyInbox);
                          return null;
                        })));
    return Future.all(loads).map(done -> snapshot);
  }
}
