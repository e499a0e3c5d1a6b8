package io.cactusspring.core.state;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** All workloads: those with live runs, and the most recently ended ones. */
final class Workloads {
  /** Maximum number of ended runs that are retained; workloads are evicted as a whole. */
  static final int MAX_ENDED_RUNS = 20_000;

  /** Maximum number of ids of void or evicted submissions that are kept to reject their reuse. */
  static final int MAX_CLOSED_IDS = 50_000;

  private final Map<String, Workload> workloads = new HashMap<>();
  private final TreeMap<String, Workload> live = new TreeMap<>();
  private final Deque<String> ended = new ArrayDeque<>();
  private final BoundedHistory<ClosedId> closed = new BoundedHistory<>(MAX_CLOSED_IDS);
  private int endedRuns;

  /**
   * A submission id that can never be accepted again.
   *
   * @param reason why it was not accepted; null if it was accepted and then evicted
   */
  record ClosedId(String reason, boolean cancelled, long offset) {}

  Workload find(String id) {
    return workloads.get(id);
  }

  Collection<Workload> live() {
    return live.values();
  }

  Deque<String> ended() {
    return ended;
  }

  BoundedHistory<ClosedId> closed() {
    return closed;
  }

  boolean isIdUsed(String submission) {
    return workloads.containsKey(submission) || closed.contains(submission);
  }

  void closeId(String submission, String reason, long offset) {
    closed.put(submission, new ClosedId(reason, false, offset));
  }

  Workload submit(Submission s, ShardId home, long offset) {
    Workload w = new Workload(s.id(), s.team(), s.task(), s.gang(), s.tasks(), home, offset);
    add(w);
    return w;
  }

  void add(Workload w) {
    workloads.put(w.id, w);
    refresh(w);
  }

  Optional<SubmissionView> submission(String id) {
    Workload w = Workload.isService(id) ? null : workloads.get(id);
    if (w != null) {
      return Optional.of(
          new SubmissionView(id, submissionOf(w), w.home(), true, null, w.cancelled(), w.offset));
    }
    return closed.get(id).map(c -> view(id, c));
  }

  List<RunView> liveRuns(ShardId home) {
    return live.values().stream()
        .flatMap(
            w ->
                IntStream.range(0, w.size())
                    .filter(i -> w.isLive(i) && w.home(i).equals(home))
                    .mapToObj(w::view))
        .sorted(Comparator.comparing(RunView::run))
        .toList();
  }

  /**
   * Returns why zones cannot change their number of shards: while runs have their home in a shard,
   * it cannot be removed and its workers cannot change to another shard.
   */
  List<String> resizeProblems(Configuration before, Configuration after) {
    return before.shards().stream()
        .filter(s -> before.shardsOf(s.zone().name()) != after.shardsOf(s.zone().name()))
        .filter(this::hasLiveRuns)
        .map(s -> "zone/" + s.zone() + " changes its shards while " + s + " holds live runs")
        .toList();
  }

  private boolean hasLiveRuns(ShardId home) {
    return live.values().stream()
        .anyMatch(
            w -> IntStream.range(0, w.size()).anyMatch(i -> w.isLive(i) && w.home(i).equals(home)));
  }

  List<Workload> liveOf(String team) {
    return live.values().stream().filter(w -> w.team().equals(team)).toList();
  }

  /** Updates the indexes after runs became live or ended; evicts the oldest ended workloads. */
  void refresh(Workload w) {
    boolean wasLive = live.containsKey(w.id);
    boolean isLive = w.live() > 0;
    if (isLive) {
      live.put(w.id, w);
    } else {
      live.remove(w.id);
    }
    if (wasLive && !isLive && !w.service()) {
      retire(w);
    }
  }

  /** Restores the order in which workloads had ended when a snapshot was taken. */
  void restoreEnded(List<String> ids) {
    ids.forEach(id -> retire(workloads.get(id)));
  }

  /** Returns all workloads in order of their ids. */
  Collection<Workload> all() {
    return new TreeMap<>(workloads).values();
  }

  private void retire(Workload w) {
    w.truncatePayload();
    ended.addLast(w.id);
    endedRuns += w.size();
    while (endedRuns > MAX_ENDED_RUNS) {
      Workload oldest = workloads.remove(ended.removeFirst());
      endedRuns -= oldest.size();
      closed.put(oldest.id, new ClosedId(null, oldest.cancelled(), oldest.offset));
    }
  }

  static Submission submissionOf(Workload w) {
    return new Submission(w.id, w.team(), w.gang, w.size(), w.spec());
  }

  private static SubmissionView view(String id, ClosedId c) {
    boolean accepted = c.reason() == null;
    return new SubmissionView(id, null, null, accepted, c.reason(), c.cancelled(), c.offset());
  }

  /** Returns why a submission cannot be accepted; empty if it can. */
  static Optional<String> refusal(Submission s, ShardId home, Configuration configuration) {
    if (configuration.team(s.team()).isEmpty()) {
      return Optional.of("team " + s.team() + " does not exist");
    }
    if (!configuration.shards().contains(home)) {
      return Optional.of("home shard " + home + " does not exist");
    }
    return Optional.empty();
  }
}
