package io.cactusspring.daemon.work;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.StateChange;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.CellListener;
import io.cactusspring.daemon.control.LogController;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Appends records to the log and confirms each append by its effect on the replayed state. The
 * response of the append is not relied on, because it can be lost although the record was appended.
 *
 * @since 0.1
 */
public final class ConfirmingAppender implements CellListener {
  private static final long WAIT_MILLIS = 4_000;
  private static final long RETRY_MILLIS = 250;

  private final Cell cell;
  private final LogController log;
  private final Vertx vertx;
  private final Context context;
  private final List<PendingConfirmation> pending = new ArrayList<>();

  private record PendingConfirmation(Predicate<ClusterState> effect, Promise<Void> promise) {}

  public ConfirmingAppender(Cell cell, LogController log, Context context) {
    this.cell = cell;
    this.log = log;
    this.context = context;
    this.vertx = context.owner();
  }

  /**
   * Appends a record. The returned future completes within {@link #WAIT_MILLIS} and does not fail.
   *
   * @param effect tests whether the state shows that the record, or a preceding record about the
   *     same id, has been applied
   */
  Future<AppendOutcome> append(LogRecord entry, Predicate<ClusterState> effect) {
    if (!log.available()) {
      return Future.succeededFuture(AppendOutcome.NOT_SENT);
    }
    Future<Void> confirmed = awaitEffect(effect);
    context.runOnContext(x -> send(entry, confirmed));
    return confirmed
        .timeout(WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .map(AppendOutcome.CONFIRMED)
        .otherwise(AppendOutcome.UNKNOWN);
  }

  /**
   * Sends a record repeatedly until its effect is confirmed or the wait has timed out. Records have
   * ids, so a record that is appended twice takes effect once.
   */
  private void send(LogRecord entry, Future<Void> confirmed) {
    log.append(List.of(entry))
        .onFailure(e -> vertx.setTimer(RETRY_MILLIS, t -> retryUnlessConfirmed(entry, confirmed)));
  }

  private void retryUnlessConfirmed(LogRecord entry, Future<Void> confirmed) {
    if (!confirmed.isComplete()) {
      send(entry, confirmed);
    }
  }

  @Override
  public void applied(long offset, LogRecord entry, List<StateChange> changes) {
    confirmApplied();
  }

  @Override
  public void restored() {
    confirmApplied();
  }

  private Future<Void> awaitEffect(Predicate<ClusterState> effect) {
    Promise<Void> promise = Promise.promise();
    PendingConfirmation confirmation = new PendingConfirmation(effect, promise);
    cell.read(
        s -> {
          pending.add(confirmation);
          return null;
        });
    Future<Void> future = promise.future().timeout(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    future.onFailure(e -> remove(confirmation));
    return future;
  }

  private void remove(PendingConfirmation confirmation) {
    cell.read(s -> pending.remove(confirmation));
  }

  private void confirmApplied() {
    cell.read(
        s -> {
          Iterator<PendingConfirmation> all = pending.iterator();
          while (all.hasNext()) {
            PendingConfirmation confirmation = all.next();
            if (confirmation.effect().test(s)) {
              all.remove();
              confirmation.promise().tryComplete();
            }
          }
          return null;
        });
  }
}
