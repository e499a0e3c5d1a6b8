package io.cactusspring.core.shard;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.placement.WaitReason;
import io.cactusspring.core.state.RunState;
import java.util.List;
import java.util.Optional;

/** Runs of a shard that wait: for a worker, for others of their gang, or to be moved away. */
final class RunWaiting {
  private final OwnerState shared;

  RunWaiting(OwnerState state) {
    this.shared = state;
  }

  List<RunEntry> waitingEntries() {
    return shared.runs.in(RunEntry.Phase.WAITING).stream().toList();
  }

  void addAll(String workload, long nowMillis) {
    List<RunEntry> added =
        shared.state.runs(workload).stream()
            .filter(v -> v.state() == RunState.PENDING && v.home().equals(shared.shard))
            .filter(v -> !shared.runs.contains(v.run()))
            .map(v -> new RunEntry(v, RunEntry.Phase.WAITING))
            .toList();
    added.forEach(e -> shared.runs.add(e));
    added.forEach(e -> enqueue(e, nowMillis));
  }

  /** Queues a waiting run for placement; the members of a gang only when all of them wait. */
  void enqueue(RunEntry entry, long nowMillis) {
    if (entry.view.gangSize() == 1) {
      enqueueSingle(entry, nowMillis);
      return;
    }
    List<RunEntry> members = shared.gang(entry.run.workload());
    long live =
        shared.state.runs(entry.run.workload()).stream()
            .filter(v -> v.state() != RunState.ENDED)
            .count();
    boolean allWait =
        members.size() == live
            && members.stream().allMatch(m -> m.phase() == RunEntry.Phase.WAITING)
            && members.stream().noneMatch(m -> hasStray(m.run));
    if (allWait) {
      members.forEach(m -> shared.placer.remove(m.run));
      members.forEach(m -> shared.placer.enqueue(m.pending(members.size()), nowMillis));
    } else {
      shared.breakGang(entry);
    }
  }

  void enqueueSingle(RunEntry entry, long nowMillis) {
    if (!hasStray(entry.run)) {
      shared.placer.remove(entry.run);
      shared.placer.enqueue(entry.pending(1), nowMillis);
    }
  }

  void releaseHeld(long nowMillis) {
    if (!shared.holding) {
      return;
    }
    boolean allHeard =
        !shared.links.isEmpty() && shared.links.values().stream().allMatch(l -> l.heard);
    if (!allHeard && nowMillis < shared.holdUntilMillis) {
      return;
    }
    shared.holding = false;
    List<RunEntry> held = shared.runs.in(RunEntry.Phase.HELD).stream().toList();
    held.forEach(this::unhold);
    held.stream()
        .filter(e -> shared.runs.contains(e.run) && !shared.backoff.waits(e.run))
        .forEach(e -> enqueue(e, nowMillis));
  }

  void hold(RunEntry entry) {
    shared.runs.move(entry, RunEntry.Phase.HELD);
    shared.count(entry.view.team(), 1);
  }

  void unhold(RunEntry entry) {
    shared.count(entry.view.team(), -1);
    shared.runs.move(entry, RunEntry.Phase.WAITING);
    if (shared.isOver(entry.run)) {
      shared.runs.remove(entry.run);
    }
  }

  /**
   * Gives runs that wait for room here to another shard. Nothing of them starts here any more, even
   * if the record of the move is lost for a while.
   *
   * @param room what the runs may need together
   * @param max greatest number of runs
   * @return number of runs given
   */
  int moveWaitingRuns(ShardId to, Resources room, int max) {
    Resources left = room;
    int moved = 0;
    for (RunEntry entry : waitingEntries().reversed()) {
      Resources needs = entry.view.spec().resources();
      if (moved < max && needs.fitsIn(left) && isMovable(entry)) {
        shared.placer.remove(entry.run);
        shared.runs.move(entry, RunEntry.Phase.MOVING);
        shared.ledger.move(entry.run, to);
        left = left.minus(needs);
        moved++;
      }
    }
    return moved;
  }

  /** Whether a run waits for room alone, and the log knows that no attempt of it is under way. */
  boolean isMovable(RunEntry entry) {
    boolean lacksRoom =
        shared.placer.whyWaiting(entry.run).filter(w -> w == WaitReason.NO_ROOM).isPresent();
    return lacksRoom
        && entry.view.gangSize() == 1
        && !hasStray(entry.run)
        && shared.state.run(entry.run).filter(v -> v.state() == RunState.PENDING).isPresent();
  }

  void movedAway(RunId run) {
    shared.ledger.moveRead(run);
    RunEntry entry = shared.runs.get(run);
    if (entry == null) {
      return;
    }
    if (entry.phase() == RunEntry.Phase.WAITING) {
      shared.placer.remove(run);
    }
    if (entry.phase() == RunEntry.Phase.WAITING || entry.phase() == RunEntry.Phase.MOVING) {
      shared.runs.remove(run);
    }
  }

  /** Takes a run out of the queue while a stray attempt of it is being stopped. */
  void unqueue(RunId run) {
    Optional.ofNullable(shared.runs.get(run))
        .filter(e -> e.phase() == RunEntry.Phase.WAITING)
        .stream()
        .flatMap(e -> shared.gang(run.workload()).stream())
        .filter(e -> e.view.gangSize() > 1 || e.run.equals(run))
        .forEach(e -> shared.placer.remove(e.run));
  }

  boolean hasStray(RunId run) {
    return shared.links.values().stream()
        .flatMap(l -> l.strays.keySet().stream())
        .anyMatch(t -> t.run().equals(run));
  }

  /** Queues members that wait for others of their gang, which now has one member less. */
  void startRestOfGang(RunEntry ended, long nowMillis) {
    shared.gang(ended.run.workload()).stream()
        .filter(e -> e.phase() == RunEntry.Phase.WAITING)
        .findFirst()
        .ifPresent(e -> enqueue(e, nowMillis));
  }

  void waitAgain(RunEntry entry, long nowMillis) {
    entry.stop = RunEntry.StopReason.NONE;
    if (shared.holding && entry.idempotent()) {
      hold(entry);
      return;
    }
    shared.runs.move(entry, RunEntry.Phase.WAITING);
    if (!shared.backoff.waits(entry.run)) {
      enqueue(entry, nowMillis);
    }
  }

  void requeue(RunId run, long nowMillis) {
    Optional.ofNullable(shared.runs.get(run))
        .filter(e -> e.phase() == RunEntry.Phase.WAITING)
        .ifPresent(e -> enqueue(e, nowMillis));
  }
}
