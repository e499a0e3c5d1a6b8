package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The failed runs, the crashes and the checkpoint of what is judged as a whole: a task, or all
 * members of a gang, which share the number of a run.
 */
final class Attempts {
  // Members report within seconds of each other, so few values are replaced before all have.
  private static final int CHECKPOINTS_OF_A_GANG = 32;

  private final Checkpoint checkpoint;
  private int failures;
  private int restoredFailedRun;
  private final Set<Integer> failedRuns = new HashSet<>();
  private final CrashCount crashes = new CrashCount();

  private Attempts(Checkpoint checkpoint) {
    this.checkpoint = checkpoint;
  }

  static Attempts ofTask() {
    return new Attempts(new Checkpoint(0));
  }

  static Attempts ofGang() {
    return new Attempts(new Checkpoint(CHECKPOINTS_OF_A_GANG));
  }

  /** Returns the number of runs that have failed. */
  int failures() {
    return failures;
  }

  /** Returns the highest number of a run that was counted as failed; 0 if none was. */
  int failedRun() {
    return failedRuns.stream().reduce(restoredFailedRun, Math::max);
  }

  /**
   * Records that a run has ended failed. Runs may end in any order, as a start may be carried out
   * after the next run has ended.
   *
   * @return whether it counts; false if it was counted for another member of the gang
   */
  boolean runFailed(int run) {
    if (run <= restoredFailedRun || !failedRuns.add(run)) {
      return false;
    }
    failures++;
    return true;
  }

  /** Returns the crashes of executors under the runs. */
  CrashCount crashes() {
    return crashes;
  }

  /** Returns the checkpoint from which the next run resumes. */
  Checkpoint checkpoint() {
    return checkpoint;
  }

  /** Restores the attempts of a task that is not a member of a gang. */
  void restore(TaskProgress stored) {
    failures = stored.failures();
    crashes.restore(List.of(stored), 0);
    checkpoint.reported(stored.checkpoint());
  }

  /** Restores the attempts of a gang. */
  void restoreGang(StepProgress stored) {
    List<TaskProgress> members = stored.tasks();
    failures = members.stream().mapToInt(TaskProgress::failures).sum();
    restoredFailedRun = stored.failedRun();
    crashes.restore(members, stored.crashedRun());
    // The value is in the record of each member; earlier versions stored what each has reported.
    members.stream()
        .map(TaskProgress::checkpoint)
        .filter(c -> !c.isEmpty())
        .findFirst()
        .ifPresent(checkpoint::reported);
    if (failures > 0 && restoredFailedRun == 0) {
      restoreCountsOfMembers(members);
    }
  }

  /**
   * Restores a gang from a record of earlier versions, which counted a run once for each member
   * that failed: at least as many runs as one member has failures, and at most as many as may have
   * failed. The most that is possible counts, because a start beyond the limit cannot be taken
   * back. For the same reason the last run may count again unless it certainly did: a member that
   * is over may have failed in an earlier run only.
   *
   * <p>One member may have more failures than there were runs, as the first one has those that this
   * version counted, and its own in the same run.
   */
  private void restoreCountsOfMembers(List<TaskProgress> members) {
    int lastRun = members.stream().mapToInt(TaskProgress::run).max().orElse(0);
    List<TaskProgress> over =
        members.stream().filter(m -> m.run() == lastRun && m.executor().isEmpty()).toList();
    boolean mayHaveFailed = over.stream().anyMatch(m -> m.failures() > 0);
    int least = members.stream().mapToInt(TaskProgress::failures).max().orElse(0);
    int most = Math.min(failures, mayHaveFailed ? lastRun : lastRun - 1);
    failures = Math.min(lastRun, Math.max(least, most));
    restoredFailedRun = failures >= lastRun ? lastRun : lastRun - 1;
  }
}
