package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.schedule.Decisions.Kind;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Brings what an executor reports together with what the owner believes. */
final class ReportReader {
  private final OwnerState state;
  private final RunLife runs;

  ReportReader(OwnerState state, RunLife runs) {
    this.state = state;
    this.runs = runs;
  }

  /**
   * Reads a report.
   *
   * @param askedAt when it was asked for
   */
  void read(LiveExecutor executor, long askedAt, LeaseRenewalResult.Report report, long now) {
    if (report.bootMillis() != 0 && report.bootMillis() < executor.bootMillis()) {
      return;
    }
    noteBoot(executor, report.bootMillis(), now);
    if (executor.isSilent()) {
      state.decisions.made(Kind.EXECUTOR_ANSWERS, "", executor.id(), "it reports again");
    }
    executor.answered(report.clockMillis(), now);
    report.ended().stream()
        .sorted(Comparator.comparingLong(EndedRun::number))
        .filter(end -> end.number() > executor.endsSeen())
        .forEach(end -> readEnd(executor, end, now));
    Set<RunKey> listed = new HashSet<>();
    report.running().forEach(r -> listed.add(readRunning(executor, r, now)));
    List<Run> gone =
        executor.runs().stream()
            .filter(r -> !listed.contains(r.key()))
            .filter(r -> r.isOverIfMissing(askedAt))
            .toList();
    gone.forEach(r -> runs.lost(executor, r, "not listed any more", now));
    executor.reported();
  }

  /**
   * Takes note of the boot that an executor names.
   *
   * <p>Its runs are gone, but for those that were started on the new boot before it was known. The
   * next report tells which: what it does not list is lost.
   */
  void noteBoot(LiveExecutor executor, long boot, long now) {
    if (boot == 0 || boot <= executor.bootMillis()) {
      return;
    }
    boolean first = executor.bootMillis() == 0;
    executor.rebooted(boot);
    if (first) {
      return;
    }
    state.decisions.made(
        Kind.EXECUTOR_REBOOTED, "", executor.id(), executor.runs().size() + " runs were there");
    executor.runs().stream()
        .filter(r -> r.phase() != Run.Phase.DECIDED && r.mayStartLate(now))
        .forEach(r -> doubt(r, now));
  }

  /** The new boot may yet carry out a start that the earlier one did not answer. */
  private static void doubt(Run run, long now) {
    run.enter(Run.Phase.IN_DOUBT, now);
    run.stopAgain();
  }

  private void readEnd(LiveExecutor executor, EndedRun end, long now) {
    executor.endSeen(end.number());
    Run run = executor.run(new RunKey(end.task(), end.run()));
    if (run != null) {
      runs.ended(executor, run, end.reason(), end.checkpoint(), now);
    }
  }

  private RunKey readRunning(LiveExecutor executor, ActiveRun listed, long now) {
    RunKey key = new RunKey(listed.task(), listed.run());
    Run run = executor.run(key);
    if (run == null) {
      runs.unwanted(executor, key, now);
      return key;
    }
    if (run.phase() == Run.Phase.IN_DOUBT || run.phase() == Run.Phase.STARTING) {
      run.enter(Run.Phase.RUNNING, now);
    }
    run.progressed(listed.percent(), listed.usage(), now);
    LiveTask task = state.task(key.task());
    if (task != null && task.run() == run) {
      task.checkpoint(listed.checkpoint());
    }
    return key;
  }
}
