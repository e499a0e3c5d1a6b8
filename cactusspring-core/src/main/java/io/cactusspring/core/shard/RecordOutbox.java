package io.cactusspring.core.shard;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.RunState;
import io.cactusspring.core.state.RunView;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Starts, ends and moves to append to the log; each is appended again until it is read back. */
final class RecordOutbox {
  private static final long RESEND_MILLIS = 2_000;

  private final ShardId shard;
  private final long epoch;
  private final Map<TaskId, Pending<LogRecord.End>> ends = new LinkedHashMap<>();
  private final Map<TaskId, Pending<LogRecord.Placement>> starts = new LinkedHashMap<>();
  private final Map<RunId, Pending<ShardId>> moves = new LinkedHashMap<>();

  private static final class Pending<T> {
    private final T value;
    private long sentAtMillis = Long.MIN_VALUE / 2;

    Pending(T value) {
      this.value = value;
    }

    boolean due(long nowMillis) {
      return nowMillis - sentAtMillis >= RESEND_MILLIS;
    }

    T send(long nowMillis) {
      sentAtMillis = nowMillis;
      return value;
    }
  }

  RecordOutbox(ShardId shard, long epoch) {
    this.shard = shard;
    this.epoch = epoch;
  }

  void addStart(LogRecord.Placement placement) {
    starts.put(placement.task(), new Pending<>(placement));
  }

  void addEnd(LogRecord.End end) {
    ends.put(end.task(), new Pending<>(end));
  }

  void addMove(RunId run, ShardId to) {
    moves.put(run, new Pending<>(to));
  }

  void removeMove(RunId run) {
    moves.remove(run);
  }

  void removeStart(TaskId task) {
    starts.remove(task);
  }

  void removeEnd(TaskId task) {
    ends.remove(task);
    starts.remove(task);
  }

  /** Returns whether a queued end of the attempt leaves the run pending. */
  boolean leavesRunPending(TaskId task) {
    Pending<LogRecord.End> end = ends.get(task);
    return end != null && end.value.outcome() == null;
  }

  /** Returns whether the start of an attempt has not been read back from the log. */
  boolean containsStart(TaskId task) {
    return starts.containsKey(task);
  }

  /** Removes records that can no longer take effect, given the replayed state. */
  void prune(ClusterState state) {
    starts.keySet().removeIf(t -> state.run(t.run()).map(v -> startIsPast(v, t)).orElse(true));
    ends.keySet().removeIf(t -> state.run(t.run()).map(v -> endIsPast(v, t)).orElse(true));
    moves.keySet().removeIf(r -> state.run(r).map(this::moveIsPast).orElse(true));
  }

  private static boolean startIsPast(RunView view, TaskId task) {
    return view.state() == RunState.ENDED || view.attempt() >= task.attempt();
  }

  private boolean moveIsPast(RunView view) {
    return view.state() != RunState.PENDING || !view.home().equals(shard);
  }

  private static boolean endIsPast(RunView view, TaskId task) {
    return view.state() == RunState.ENDED || view.attempt() > task.attempt();
  }

  /**
   * Returns the records to append now, in this order: ends of attempts whose start is in the log,
   * starts, ends of attempts whose start has not been read back, moves.
   */
  List<LogRecord> due(long nowMillis) {
    List<LogRecord.End> recorded = takeDue(ends, t -> !starts.containsKey(t), nowMillis);
    List<LogRecord.End> unrecorded = takeDue(ends, starts::containsKey, nowMillis);
    boolean anyStart = starts.values().stream().anyMatch(p -> p.due(nowMillis));
    List<LogRecord.Placement> placed =
        anyStart ? starts.values().stream().map(p -> p.send(nowMillis)).toList() : List.of();
    List<LogRecord> records = new ArrayList<>();
    if (!recorded.isEmpty()) {
      records.add(new LogRecord.RunsEnded(shard, epoch, recorded));
    }
    if (!placed.isEmpty()) {
      records.add(new LogRecord.AttemptsStarted(shard, epoch, placed));
    }
    if (!unrecorded.isEmpty()) {
      records.add(new LogRecord.RunsEnded(shard, epoch, unrecorded));
    }
    records.addAll(dueMoves(nowMillis));
    return records;
  }

  private List<LogRecord> dueMoves(long nowMillis) {
    Map<ShardId, List<RunId>> byTarget = new TreeMap<>();
    moves.forEach(
        (run, to) -> {
          if (to.due(nowMillis)) {
            byTarget.computeIfAbsent(to.send(nowMillis), t -> new ArrayList<>()).add(run);
          }
        });
    return byTarget.entrySet().stream()
        .<LogRecord>map(e -> new LogRecord.WorkMoved(shard, epoch, e.getKey(), e.getValue()))
        .toList();
  }

  private static <T> List<T> takeDue(
      Map<TaskId, Pending<T>> from, Predicate<TaskId> which, long nowMillis) {
    return from.entrySet().stream()
        .filter(e -> which.test(e.getKey()) && e.getValue().due(nowMillis))
        .map(e -> e.getValue().send(nowMillis))
        .toList();
  }
}
