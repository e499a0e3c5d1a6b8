package io.cactusspring.core.shard;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.placement.WaitReason;
import io.cactusspring.core.state.RunState;
import java.util.List;
import java.util.Optional;

/** Runs of a shard that wait for a worker, for members of their gang, or for a move. */
final class WaitingEntries {
  private final OwnerState shared;

  WaitingEntries(OwnerState state) {
    this.shared = state;
  }

  List<RunEntry> entries() {
    return shared.runs.inPhases(RunEntry.Phase.WAITING).stream().toList();
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
            && members.stream().noneMatch(m -> hasOrphan(m.run));
    if (allWait) {
      members.forEach(m -> shared.placer.remove(m.run));
      members.forEach(m -> shared.placer.enqueue(m.toPendingRun(members.size()), nowMillis));
    } else {
      shared.stopGangMembers(entry);
    }
  }

  void enqueueSingle(RunEntry entry, long nowMillis) {
    if (!hasOrphan(entry.run)) {
      shared.placer.remove(entry.run);
      shared.placer.enqueue(entry.toPendingRun(1), nowMillis);
    }
  }

  void releaseHeld(long nowMillis) {
    if (!shared.holdingRuns) {
      return;
    }
    boolean allReported =
        !shared.links.isEmpty() && shared.links.values().stream().allMatch(l -> l.reported);
    if (!allReported && nowMillis < shared.holdUntilMillis) {
      return;
    }
    shared.holdingRuns = false;
    List<RunEntry> held = shared.runs.inPhases(RunEntry.Phase.HELD).stream().toList();
    held.forEach(this::unhold);
    held.stream()
        .filter(e -> shared.runs.contains(e.run) && !shared.backoff.isDelayed(e.run))
        .forEach(e -> enqueue(e, nowMillis));
  }

  void hold(RunEntry entry) {
    shared.runs.changePhase(entry, RunEntry.Phase.HELD);
    shared.addUncommittedUnits(entry.view.team(), 1);
  }

  void unhold(RunEntry entry) {
    shared.addUncommittedUnits(entry.view.team(), -1);
    shared.runs.changePhase(entry, RunEntry.Phase.WAITING);
    if (shared.isEnded(entry.run)) {
      shared.runs.remove(entry.run);
    }
  }

  /**
   * Moves runs that lack capacity in this shard to another shard. This shard no longer starts them,
   * even while the move record has not reached the log.
   *
   * @param room maximum total resources of the moved runs
   * @param max maximum number of runs
   * @return number of runs moved
   */
  int moveWaitingRuns(ShardId to, Resources room, int max) {
    Resources left = room;
    int moved = 0;
    for (RunEntry entry : entries().reversed()) {
      Resources needs = entry.view.spec().resources();
      if (moved < max && needs.fitsIn(left) && isMovable(entry)) {
        shared.placer.remove(entry.run);
        shared.runs.changePhase(entry, RunEntry.Phase.MOVING);
        shared.outbox.addMove(entry.run, to);
        left = left.minus(needs);
        moved++;
      }
    }
    return moved;
  }

  /** Returns whether a run only lacks capacity and the log shows no attempt of it in progress. */
  boolean isMovable(RunEntry entry) {
    boolean lacksRoom =
        shared.placer.waitReason(entry.run).filter(w -> w == WaitReason.NO_ROOM).isPresent();
    return lacksRoom
        && entry.view.gangSize() == 1
        && !hasOrphan(entry.run)
        && shared.state.run(entry.run).filter(v -> v.state() == RunState.PENDING).isPresent();
  }

  void onMoveReplayed(RunId run) {
    shared.outbox.removeMove(run);
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

  /** Removes a run from the queue while an orphaned attempt of it is being stopped. */
  void dequeue(RunId run) {
    Optional.ofNullable(shared.runs.get(run))
        .filter(e -> e.phase() == RunEntry.Phase.WAITING)
        .stream()
        .flatMap(e -> shared.gang(run.workload()).stream())
        .filter(e -> e.view.gangSize() > 1 || e.run.equals(run))
        .forEach(e -> shared.placer.remove(e.run));
  }

  boolean hasOrphan(RunId run) {
    return shared.links.values().stream()
        .flatMap(l -> l.orphans.keySet().stream())
        .anyMatch(t -> t.run().equals(run));
  }

  /** Queues the remaining members of a gang after one member has ended. */
  void enqueueRemainingGang(RunEntry ended, long nowMillis) {
    shared.gang(ended.run.workload()).stream()
        .filter(e -> e.phase() == RunEntry.Phase.WAITING)
        .findFirst()
        .ifPresent(e -> enqueue(e, nowMillis));
  }

  void returnToQueue(RunEntry entry, long nowMillis) {
    entry.stop = RunEntry.StopReason.NONE;
    if (shared.holdingRuns && entry.idempotent()) {
      hold(entry);
      return;
    }
    shared.runs.changePhase(entry, RunEntry.Phase.WAITING);
    if (!shared.backoff.isDelayed(entry.run)) {
      enqueue(entry, nowMillis);
    }
  }

  void requeue(RunId run, long nowMillis) {
    Optional.ofNullable(shared.runs.get(run))
        .filter(e -> e.phase() == RunEntry.Phase.WAITING)
        .ifPresent(e -> enqueue(e, nowMillis));
  }
}
