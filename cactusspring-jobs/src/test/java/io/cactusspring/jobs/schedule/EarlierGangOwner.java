package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;

/**
 * How an owner of version 0.2 before the field {@code failedRun} counts the failures of a gang:
 * each member for itself, and a job has failed once their sum is the number of attempts. It drops
 * the field when it stores progress.
 */
final class EarlierGangOwner {
  private final long term;
  private final int attempts;
  private final TaskProgress[] members;
  private boolean started;
  private long version;

  EarlierGangOwner(long term, int attempts, JobProgress stored) {
    this.term = term;
    this.attempts = attempts;
    started = stored.started();
    members =
        stored.steps().isEmpty()
            ? newMembers()
            : stored.steps().get(0).tasks().toArray(TaskProgress[]::new);
  }

  private static TaskProgress[] newMembers() {
    TaskProgress waiting = new TaskProgress(false, 0, 0, "", 0, "");
    return IntStream.range(0, GangFixture.MEMBERS)
        .mapToObj(i -> waiting)
        .toArray(TaskProgress[]::new);
  }

  /** Reads the end of a run; does nothing if it is not the current run of a member. */
  void ended(String executor, EndedRun end) {
    int index = end.task().index();
    TaskProgress member = members[index];
    if (member.run() == end.run() && member.executor().equals(executor)) {
      int failures = member.failures() + (end.reason() == EndReason.FAILED ? 1 : 0);
      members[index] = new TaskProgress(false, end.run(), failures, "", 0, "");
    }
  }

  /** Takes the run of each member on an executor as lost. */
  void lost(String executor) {
    for (int i = 0; i < members.length; i++) {
      if (members[i].executor().equals(executor)) {
        members[i] = new TaskProgress(false, members[i].run(), members[i].failures(), "", 0, "");
      }
    }
  }

  /** Returns whether a member waits, so that the others are stopped. */
  boolean isIncomplete() {
    return Arrays.stream(members).anyMatch(m -> m.executor().isEmpty());
  }

  boolean mayStart() {
    return !hasFailed() && Arrays.stream(members).allMatch(m -> m.executor().isEmpty());
  }

  /**
   * Starts the next run, each member on the executor with its index.
   *
   * @return the number of the run
   */
  int start(ToLongFunction<String> boots) {
    int number = Arrays.stream(members).mapToInt(TaskProgress::run).max().orElse(0) + 1;
    started = true;
    for (int i = 0; i < members.length; i++) {
      String on = "x" + i;
      members[i] =
          new TaskProgress(false, number, members[i].failures(), on, boots.applyAsLong(on), "");
    }
    return number;
  }

  private boolean hasFailed() {
    return Arrays.stream(members).mapToInt(TaskProgress::failures).sum() >= attempts;
  }

  JobProgress progress() {
    boolean failed = hasFailed();
    JobState state = failed ? JobState.FAILED : started ? JobState.RUNNING : JobState.PENDING;
    List<StepProgress> steps =
        failed || !started ? List.of() : List.of(new StepProgress(0, 0, false, List.of(members)));
    String queue = failed ? "plans" : "";
    return new JobProgress(term, ++version, state, started, steps, queue, failed ? "team" : "");
  }
}
