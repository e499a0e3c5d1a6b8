package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reconciles the reports of executors with the owner's state. */
final class ReportReconciler {
  private final OwnerState state;
  private final RunLifecycle runs;
  private final ErrorContainment containment;

  ReportReconciler(OwnerState state, RunLifecycle runs) {
    this.state = state;
    this.runs = runs;
    containment = new ErrorContainment(state, runs);
  }

  /**
   * Applies a report.
   *
   * @param askedAt when the report was requested
   */
  void reconcile(LiveExecutor executor, long askedAt, LeaseRenewalResult.Report report, long now) {
    updateBoot(executor, report.bootMillis(), now);
    state.crashes.answered(executor, now);
    if (executor.isSilent()) {
      // Runs may have ended long before this report, which says nothing of when.
      executor.runs().forEach(Run::doNotMeasure);
      state.decisionListener.decisionMade(
          Kind.EXECUTOR_ANSWERS, "", executor.id(), "executor reports again");
    }
    executor.answered(report.clockMillis(), now);
    report.ended().stream()
        .sorted(Comparator.comparingLong(EndedRun::number))
        .filter(end -> end.number() > executor.lastReceivedEnd())
        .forEach(
            end -> containment.guardJob(end.task().job(), now, () -> readEnd(executor, end, now)));
    Set<RunKey> listed = new HashSet<>();
    for (ActiveRun run : report.running()) {
      listed.add(new RunKey(run.task(), run.run()));
      containment.guardJob(run.task().job(), now, () -> readRunning(executor, run, now));
    }
    List<Run> missing =
        executor.runs().stream()
            .filter(r -> !listed.contains(r.key()))
            .filter(r -> r.isOverIfMissing(askedAt))
            .toList();
    if (report.truncated()) {
      // The ends of these runs may follow once the listed ones are acknowledged.
      noticeTruncation(executor, report, missing);
    } else {
      missing.forEach(
          r ->
              containment.guardJob(
                  r.key().task().job(),
                  now,
                  () -> runs.lost(executor, r, describeMissing(executor, r, now), now)));
    }
    executor.reported(report.truncated(), report.clockMillis(), askedAt, now);
  }

  private static String describeMissing(LiveExecutor executor, Run run, long now) {
    return "sent to boot "
        + run.bootMillis()
        + ", not listed any more by boot "
        + executor.bootMillis()
        + ", "
        + executor.describeAcknowledgement(now);
  }

  private void noticeTruncation(
      LiveExecutor executor, LeaseRenewalResult.Report report, List<Run> missing) {
    if (!executor.isReportTruncated()) {
      state.decisionListener.decisionMade(
          Kind.REPORT_TRUNCATED,
          "",
          executor.id(),
          report.ended().size()
              + " ends are listed and further ones left out; "
              + missing.size()
              + " runs may be among these");
    }
  }

  /** Records the boot that an executor has announced, if it is later than the present one. */
  void bootAnnounced(LiveExecutor executor, long boot, long now) {
    if (executor.isLaterBoot(boot)) {
      updateBoot(executor, boot, now);
    }
  }

  /**
   * Records the boot of an executor.
   *
   * <p>A new boot has none of the earlier runs, except those that were started on it before the
   * owner detected the reboot. The next report shows which: runs that it does not list are lost.
   */
  private void updateBoot(LiveExecutor executor, long boot, long now) {
    if (boot == 0 || boot == executor.bootMillis()) {
      return;
    }
    boolean first = executor.bootMillis() == 0;
    String before = executor.describeRuns(now);
    if (!first) {
      state.crashes.observe(executor, Crash.Evidence.REBOOTED, now);
    }
    executor.rebooted(boot, now);
    if (first) {
      return;
    }
    state.decisionListener.decisionMade(
        Kind.EXECUTOR_REBOOTED,
        "",
        executor.id(),
        executor.runs().size() + " runs were assigned when the reboot was detected; " + before);
    executor.runs().stream()
        .filter(r -> r.phase() != Run.Phase.DECIDED && r.mayStartLate(now))
        .forEach(r -> markInDoubt(r, now));
  }

  /** The new boot may still carry out a start that the previous one did not answer. */
  private static void markInDoubt(Run run, long now) {
    run.enter(Run.Phase.IN_DOUBT, now);
    run.startSettled();
    run.resetStop();
  }

  private void readEnd(LiveExecutor executor, EndedRun end, long now) {
    executor.endReceived(end.number());
    state.withEndsToStore.add(executor);
    Run run = executor.run(new RunKey(end.task(), end.run()));
    if (run != null) {
      // The present boot had the run, whatever happened to earlier ones.
      run.crash(Optional.empty());
      runs.ended(executor, run, end.reason(), end.checkpoint(), now);
    } else {
      runs.otherRunEnded(executor, new RunKey(end.task(), end.run()), end.reason(), now);
    }
  }

  private void readRunning(LiveExecutor executor, ActiveRun listed, long now) {
    RunKey key = new RunKey(listed.task(), listed.run());
    Run run = executor.run(key);
    if (run == null || executor.isForeign(run)) {
      // The start may have been meant for an earlier boot.
      executor.lease().mayHaveTakenForeign(now);
    }
    if (run == null) {
      runs.stopOrphan(executor, key, now);
      return;
    }
    if (run.phase() == Run.Phase.IN_DOUBT || run.phase() == Run.Phase.STARTING) {
      run.enter(Run.Phase.RUNNING, now);
    }
    // The present boot has the run, whatever happened to earlier ones.
    run.crash(Optional.empty());
    run.bootMillis(executor.bootMillis());
    run.listed();
    run.progressed(listed.percent(), listed.usage(), now);
    LiveTask task = state.task(key.task());
    if (task != null && task.run() == run) {
      task.checkpoint(listed.checkpoint());
    }
  }
}
