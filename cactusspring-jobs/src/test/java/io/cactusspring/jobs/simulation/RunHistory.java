package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The runs of what is judged as a whole: a task, or all members of a gang, which share the number
 * of a run. One member that fails makes the run a failed attempt; one that is done stands for all.
 */
final class RunHistory {
  /** Whether an owner has taken note of an end. */
  private enum Notice {
    LISTED,
    ACKNOWLEDGED,
    /** The executor crashed, or its lease lapsed, before the acknowledgement. */
    LOST
  }

  /** The ends by identity: two executors may list equal ones after a late start. */
  private final Map<EndedRun, Notice> ends = new IdentityHashMap<>();

  private final Map<Integer, String> checkpointsByRun = new HashMap<>();
  private final Set<String> checkpoints = new HashSet<>();

  /** Whether the crash followed soon after the start, by the number of the run. */
  private final Map<Integer, Boolean> crashedRuns = new HashMap<>();

  /** The first run that started between a successful end and its acknowledgement, by the end. */
  private final Map<EndedRun, Integer> runsAfterDone = new IdentityHashMap<>();

  private boolean reopened;

  /**
   * Records a start.
   *
   * @return what is wrong with its checkpoint, if anything is
   */
  Optional<String> started(StartRequest request) {
    if (isDone() && !isDone(false)) {
      reopened = true;
    }
    ends.keySet().stream()
        .filter(e -> e.reason() == EndReason.DONE && ends.get(e) == Notice.LISTED)
        .forEach(e -> runsAfterDone.putIfAbsent(e, request.run()));
    String carried = request.checkpoint();
    String expected = checkpointsByRun.computeIfAbsent(request.run(), run -> carried);
    if (!carried.equals(expected)) {
      return Optional.of(
          "checkpoint '%s', but '%s' for other members".formatted(carried, expected));
    }
    return carried.isEmpty() || checkpoints.contains(carried)
        ? Optional.empty()
        : Optional.of("checkpoint '" + carried + "', which no executor has reported");
  }

  /** Records that an executor has reported a checkpoint. */
  void reported(String checkpoint) {
    checkpoints.add(checkpoint);
  }

  void ended(EndedRun end) {
    ends.put(end, Notice.LISTED);
    reported(end.checkpoint());
    if (end.reason() == EndReason.DONE) {
      reopened = false;
    }
  }

  /**
   * Records that an owner has taken note of an end.
   *
   * @return the run that had started after it, if it was successful
   */
  Optional<Integer> acknowledged(EndedRun end) {
    ends.put(end, Notice.ACKNOWLEDGED);
    return Optional.ofNullable(runsAfterDone.get(end));
  }

  /** Records that an executor crashed, or its lease lapsed, before an end was acknowledged. */
  void lost(EndedRun end) {
    ends.put(end, Notice.LOST);
  }

  /** Records that an executor of a run has crashed, soon after the start or later. */
  void crashed(int run, boolean early) {
    crashedRuns.merge(run, early, Boolean::logicalOr);
  }

  /** Returns the number of runs during which executors have crashed. */
  int crashedRuns() {
    return crashedRuns.size();
  }

  /** Returns the number of runs soon after the starts of which executors have crashed. */
  int earlyCrashedRuns() {
    return (int) crashedRuns.values().stream().filter(early -> early).count();
  }

  /** Returns the number of failed runs. */
  int failures() {
    return failures(notice -> true);
  }

  /** Returns the number of failed runs of which an owner has taken note or can do so. */
  int knownFailures() {
    return failures(notice -> notice != Notice.LOST);
  }

  private int failures(Predicate<Notice> counts) {
    return (int)
        ends.entrySet().stream()
            .filter(e -> e.getKey().reason() == EndReason.FAILED && counts.test(e.getValue()))
            .map(e -> e.getKey().run())
            .distinct()
            .count();
  }

  /** Returns whether a run has ever ended done. */
  boolean isDone() {
    return isDone(notice -> true);
  }

  /** Returns whether a run has ended done and this end was acknowledged. */
  boolean isDoneForGood() {
    return isDone(notice -> notice == Notice.ACKNOWLEDGED);
  }

  /**
   * Returns whether a run has ended done and none was started since.
   *
   * @param doubtful the answer if no owner may have taken note of the end
   */
  boolean isDone(boolean doubtful) {
    return !reopened && isDone(notice -> doubtful || notice != Notice.LOST);
  }

  private boolean isDone(Predicate<Notice> counts) {
    return ends.entrySet().stream()
        .anyMatch(e -> e.getKey().reason() == EndReason.DONE && counts.test(e.getValue()));
  }
}
