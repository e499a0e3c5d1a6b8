package io.cactusspring.core.state;

import io.cactusspring.core.model.LogRecord.End;
import io.cactusspring.core.model.LogRecord.Placement;
import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.TaskId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Applies records of a shard's owner to runs. The caller has checked the epoch; entries that do not
 * fit the state of their run are ignored.
 */
class RunRules {
  private final Workloads workloads;

  RunRules(Workloads workloads) {
    this.workloads = workloads;
  }

  List<Placement> start(ShardId shard, List<Placement> placements) {
    Set<RunId> named = new HashSet<>();
    placements.forEach(p -> named.add(p.task().run()));
    List<Placement> valid = placements.stream().filter(p -> mayStart(shard, p, named)).toList();
    valid.forEach(
        p -> find(p.task().run()).start(index(p.task()), p.task().attempt(), p.worker().intern()));
    placements.forEach(p -> reserveAttemptNumber(shard, p));
    return valid;
  }

  /** Ends attempts; returns the ends that took effect, with their effective outcomes. */
  List<End> end(ShardId shard, List<End> ends) {
    List<End> applied = new ArrayList<>();
    Set<Workload> touched = new LinkedHashSet<>();
    for (End e : ends) {
      Optional<End> effect = endOne(shard, e);
      effect.ifPresent(applied::add);
      effect.ifPresent(a -> touched.add(find(a.task().run())));
    }
    touched.forEach(w -> applied.addAll(endGangThatCannotStart(w)));
    touched.forEach(workloads::refresh);
    return applied;
  }

  List<RunId> move(ShardId from, ShardId to, List<RunId> runs) {
    Set<RunId> named = new HashSet<>(runs);
    List<RunId> valid = named.stream().filter(r -> mayMove(from, r, named)).sorted().toList();
    valid.forEach(r -> find(r).moveHome(r.index(), to));
    return valid;
  }

  /** Cancels a workload and ends its pending runs; returns the ends by shard. */
  Map<ShardId, List<End>> cancel(Workload w) {
    w.cancel();
    Map<ShardId, List<End>> ended = endPending(w, w.indexes(RunState.PENDING).boxed().toList());
    workloads.refresh(w);
    return ended;
  }

  /** Ends pending runs, which have no attempt in progress, as cancelled. */
  Map<ShardId, List<End>> endPending(Workload w, Collection<Integer> indexes) {
    Map<ShardId, List<End>> ended = new TreeMap<>();
    for (int i : indexes) {
      w.end(i, Outcome.CANCELLED);
      TaskId next = new TaskId(w.run(i), w.attempt(i) + 1);
      ended
          .computeIfAbsent(w.home(i), h -> new ArrayList<>())
          .add(new End(next, Outcome.CANCELLED, true));
    }
    return ended;
  }

  /** Returns whether a run may be restarted after an attempt that ended without an outcome. */
  boolean mayRestart(Workload w, End e) {
    return e.notRun() || w.spec(index(e.task())).idempotent();
  }

  private boolean mayStart(ShardId shard, Placement p, Set<RunId> named) {
    Workload w = find(p.task().run());
    int i = index(p.task());
    if (w == null || i >= w.size() || w.state(i) != RunState.PENDING) {
      return false;
    }
    boolean isNext = p.task().attempt() > w.attempt(i);
    return isNext && w.home(i).equals(shard) && namesAllPendingMembers(w, named);
  }

  /**
   * Reserves the attempt number of an ended replica, so that a later restart uses an unused one.
   */
  private void reserveAttemptNumber(ShardId shard, Placement p) {
    Workload w = find(p.task().run());
    int i = index(p.task());
    if (w != null && w.service() && i < w.size() && !w.isLive(i) && w.home(i).equals(shard)) {
      w.reserveAttempt(i, p.task().attempt());
    }
  }

  private boolean mayMove(ShardId from, RunId r, Set<RunId> named) {
    Workload w = find(r);
    if (w == null || r.index() >= w.size() || w.state(r.index()) != RunState.PENDING) {
      return false;
    }
    return w.home(r.index()).equals(from) && namesWholeGang(w, named);
  }

  /**
   * Returns whether a record names all pending members of a gang. Members of a non-idempotent gang
   * start together, by one record. An idempotent gang is exempt: it may have started without
   * records, and a new owner may find only some members, so its owner ensures completeness.
   */
  boolean namesAllPendingMembers(Workload w, Set<RunId> named) {
    return !w.gang
        || w.spec().idempotent()
        || w.indexes(RunState.PENDING).allMatch(i -> named.contains(w.run(i)));
  }

  /**
   * Returns whether all live members of a gang are pending and named; gangs move only as a whole.
   */
  private static boolean namesWholeGang(Workload w, Set<RunId> named) {
    return !w.gang
        || IntStream.range(0, w.size())
            .filter(w::isLive)
            .allMatch(i -> w.state(i) == RunState.PENDING && named.contains(w.run(i)));
  }

  private Optional<End> endOne(ShardId shard, End e) {
    Workload w = find(e.task().run());
    int i = index(e.task());
    if (w == null || i >= w.size() || !w.home(i).equals(shard)) {
      return Optional.empty();
    }
    return switch (w.state(i)) {
      case PENDING -> endInfeasible(w, i, e);
      case STARTED -> endStarted(w, i, e);
      case ENDED -> Optional.empty();
    };
  }

  private static Optional<End> endInfeasible(Workload w, int i, End e) {
    boolean isNext = e.task().attempt() == w.attempt(i) + 1;
    if (e.outcome() != Outcome.INFEASIBLE || !isNext || w.service()) {
      return Optional.empty();
    }
    w.end(i, Outcome.INFEASIBLE);
    return Optional.of(new End(e.task(), Outcome.INFEASIBLE, true));
  }

  private Optional<End> endStarted(Workload w, int i, End e) {
    if (e.task().attempt() != w.attempt(i)) {
      return Optional.empty();
    }
    Outcome effective = effectiveOutcome(w, i, e);
    if (effective == null) {
      w.setPending(i);
    } else {
      w.end(i, effective);
    }
    return Optional.of(new End(e.task(), effective, e.notRun()));
  }

  /** Returns the outcome that takes effect; null if the run becomes pending again. */
  private Outcome effectiveOutcome(Workload w, int i, End e) {
    if (w.service()) {
      return w.cancelled(i) ? Outcome.CANCELLED : null;
    }
    if (e.outcome() != null) {
      return e.outcome();
    }
    if (!mayRestart(w, e)) {
      return Outcome.UNKNOWN;
    }
    return w.cancelled(i) ? Outcome.CANCELLED : null;
  }

  /** Ends the pending members of a non-idempotent gang, which cannot start once a member ended. */
  private List<End> endGangThatCannotStart(Workload w) {
    boolean isOver = w.indexes(RunState.ENDED).findAny().isPresent();
    if (!w.gang || w.spec().idempotent() || !isOver) {
      return List.of();
    }
    List<Integer> waiting = w.indexes(RunState.PENDING).boxed().toList();
    return endPending(w, waiting).values().stream().flatMap(List::stream).toList();
  }

  private Workload find(RunId run) {
    return workloads.find(run.workload());
  }

  private static int index(TaskId task) {
    return task.run().index();
  }
}
