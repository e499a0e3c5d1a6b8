package io.cactusspring.core.shard;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.placement.CommittedTask;
import io.cactusspring.core.placement.ReleaseReason;
import io.cactusspring.core.state.RunView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Synchronises an owner with its workers: renews leases, adopts tasks, and stops orphans. */
final class WorkerSyncs {
  private final OwnerState shared;
  private final WaitingEntries waiting;
  private final RunCompletion ends;

  WorkerSyncs(OwnerState state, WaitingEntries waiting, RunCompletion ends) {
    this.shared = state;
    this.waiting = waiting;
    this.ends = ends;
  }

  /** Returns whether a worker has answered recent syncs. */
  boolean isReachable(String worker) {
    WorkerLink link = shared.links.get(worker);
    return link != null && link.reachable();
  }

  /** Updates the workers from the shard's part of the platform's host list. */
  void updateWorkers(Collection<WorkerInfo> listed) {
    listed.forEach(this::updateWorker);
    Map<String, WorkerInfo> byName =
        listed.stream().collect(Collectors.toMap(WorkerInfo::name, w -> w, (a, b) -> a));
    List<WorkerLink> gone =
        shared.links.values().stream().filter(l -> !byName.containsKey(l.worker)).toList();
    gone.forEach(l -> shared.placer.setReachable(l.worker, false));
    gone.stream().filter(l -> l.tasks.isEmpty() && l.orphans.isEmpty()).forEach(this::removeLink);
  }

  /**
   * Handles a worker's report in response to a sync.
   *
   * @param sentAtMillis when the sync was sent
   */
  void onSyncReport(String worker, WorkerReport report, long sentAtMillis, long nowMillis) {
    WorkerLink link = shared.links.get(worker);
    if (link == null) {
      return;
    }
    boolean restarted = link.incarnation != null && !link.incarnation.equals(report.incarnation());
    link.incarnation = report.incarnation();
    if (restarted) {
      link.tasks.values().forEach(e -> e.mayHaveRun = true);
    }
    link.syncing = false;
    link.failedSyncs = 0;
    link.reported = true;
    shared.placer.setReachable(worker, true);
    report.running().forEach(r -> onRunningTask(link, r, nowMillis));
    report.ended().forEach(e -> onEndedTask(link, e, nowMillis));
    removeGoneTasks(link, report, nowMillis);
    endMissing(link, report, sentAtMillis, nowMillis);
  }

  /** Handles a sync that got no response. */
  void onSyncFailed(String worker) {
    WorkerLink link = shared.links.get(worker);
    if (link == null) {
      return;
    }
    link.syncing = false;
    link.failedSyncs++;
    if (!link.reachable()) {
      shared.placer.setReachable(worker, false);
    }
  }

  void updateWorker(WorkerInfo info) {
    shared.placer.putWorker(info);
    WorkerLink link = shared.links.get(info.name());
    if (link == null) {
      link = new WorkerLink(info.name());
      shared.links.put(info.name(), link);
      shared.placer.setReachable(info.name(), false);
      commitAdoptedTasks(link);
    } else {
      shared.placer.setReachable(info.name(), link.reachable());
    }
  }

  void commitAdoptedTasks(WorkerLink link) {
    shared.runs.onWorkers().stream()
        .filter(e -> !e.committed && link.worker.equals(e.worker))
        .forEach(e -> commitAdopted(link, e));
  }

  void commitAdopted(WorkerLink link, RunEntry entry) {
    shared.addUncommittedUnits(entry.view.team(), -1);
    commit(link, entry);
  }

  void commit(WorkerLink link, RunEntry entry) {
    shared.placer.commit(
        new CommittedTask(
            entry.task(),
            entry.view.team(),
            entry.view.spec(),
            link.worker,
            entry.view.service(),
            entry.view.gangSize() > 1));
    entry.committed = true;
    link.tasks.put(entry.task(), entry);
  }

  void removeLink(WorkerLink link) {
    shared.links.remove(link.worker);
    shared.placer.removeWorker(link.worker);
  }

  List<OwnerCommand> syncs(long nowMillis) {
    return shared.links.values().stream()
        .filter(l -> l.due(nowMillis, shared.settings.syncMillis()))
        .map(l -> sync(l, nowMillis))
        .toList();
  }

  OwnerCommand sync(WorkerLink link, long nowMillis) {
    link.syncing = true;
    link.syncSentAtMillis = nowMillis;
    link.syncRequested = false;
    List<RunEntry> onWorker =
        link.tasks.values().stream().filter(e -> e.onWorker() && renewsLease(link, e)).toList();
    onWorker.forEach(
        e -> e.leaseExpiresAtMillis = nowMillis + shared.settings.leaseExpiryBoundMillis());
    List<TaskId> stop = new ArrayList<>(link.orphans.keySet());
    select(link, e -> e.stopping() && !stopsByCheckpoint(e)).forEach(stop::add);
    return new OwnerCommand.Sync(
        link.worker,
        onWorker.stream().map(RunEntry::task).toList(),
        List.copyOf(stop),
        select(link, e -> e.stopping() && stopsByCheckpoint(e)),
        List.copyOf(link.forget));
  }

  /** Returns whether the next sync renews the task's lease. */
  static boolean renewsLease(WorkerLink link, RunEntry entry) {
    return link.reachable() && entry.confirmed;
  }

  static boolean stopsByCheckpoint(RunEntry entry) {
    return entry.stop != RunEntry.StopReason.CANCELLED && entry.view.spec().checkpointable();
  }

  static List<TaskId> select(WorkerLink link, Predicate<RunEntry> which) {
    return link.tasks.values().stream()
        .filter(e -> e.onWorker() && which.test(e))
        .map(RunEntry::task)
        .toList();
  }

  void onRunningTask(WorkerLink link, WorkerReport.Running running, long nowMillis) {
    RunEntry entry = shared.runs.get(running.task().run());
    boolean known =
        entry != null
            && entry.onWorker()
            && entry.attempt == running.task().attempt()
            && link.worker.equals(entry.worker);
    if (known) {
      if (!entry.confirmed) {
        link.syncRequested = true;
      }
      shared.confirm(entry, nowMillis);
      observeUsageOf(running, nowMillis);
      return;
    }
    if (takeOver(link, entry, running.task(), nowMillis)) {
      return;
    }
    addOrphan(link, running);
  }

  void observeUsageOf(WorkerReport.Running running, long nowMillis) {
    if (running.usage() != null) {
      shared.placer.observeUsage(running.task(), running.usage(), nowMillis);
    }
  }

  /** Adopts a running attempt that is not in the log; returns whether the attempt was adopted. */
  boolean takeOver(WorkerLink link, RunEntry entry, TaskId task, long nowMillis) {
    if (takeOverHeld(link, entry, task, nowMillis)) {
      return true;
    }
    boolean isNewer =
        entry != null
            && task.attempt() > entry.attempt
            && entry.onWorker()
            && !entry.confirmed
            && entry.startSentAtMillis == 0;
    if (isNewer) {
      adoptNewer(link, entry, task, nowMillis);
    }
    return isNewer;
  }

  /** Adopts an attempt of a held run, even if the attempt has ended since. */
  boolean takeOverHeld(WorkerLink link, RunEntry entry, TaskId task, long nowMillis) {
    boolean isUnrecorded =
        entry != null && entry.phase() == RunEntry.Phase.HELD && task.attempt() > entry.attempt;
    if (isUnrecorded) {
      adoptUnrecorded(link, entry, task, nowMillis);
    }
    return isUnrecorded;
  }

  /**
   * Adopts the next attempt of a run, which the replaced owner started without the log after the
   * recorded attempt had ended.
   */
  void adoptNewer(WorkerLink link, RunEntry entry, TaskId task, long nowMillis) {
    ends.release(entry, ReleaseReason.LAPSED, nowMillis);
    shared.outbox.addEnd(new LogRecord.End(entry.task(), null));
    waiting.hold(entry);
    adoptUnrecorded(link, entry, task, nowMillis);
  }

  /** Adopts a task that the replaced owner started while it could not reach the log. */
  void adoptUnrecorded(WorkerLink link, RunEntry entry, TaskId task, long nowMillis) {
    entry.attempt = task.attempt();
    entry.worker = link.worker;
    entry.startSentAtMillis = 0;
    entry.confirmed = false;
    entry.leaseExpiresAtMillis = nowMillis + shared.settings.takeoverExpiryBoundMillis();
    shared.addUncommittedUnits(entry.view.team(), -1);
    commit(link, entry);
    shared.confirm(entry, nowMillis);
    link.syncRequested = true;
    if (shared.isEnded(entry.run)) {
      entry.stop = RunEntry.StopReason.CANCELLED;
    }
    shared.outbox.addStart(new LogRecord.Placement(task, link.worker));
  }

  void addOrphan(WorkerLink link, WorkerReport.Running running) {
    if (link.orphans.containsKey(running.task())) {
      return;
    }
    CommittedTask orphan =
        new CommittedTask(
            running.task(),
            orphanTeam(running.task()),
            TaskSpec.builder(resources(running)).build(),
            link.worker,
            false);
    waiting.dequeue(running.task().run());
    shared.placer.commit(orphan);
    link.orphans.put(running.task(), orphan);
    link.syncRequested = true;
  }

  /**
   * Returns the resources of a listed task. A task listed by its id only was renewed, so its run is
   * known.
   */
  private Resources resources(WorkerReport.Running running) {
    return running.resources() != null
        ? running.resources()
        : shared
            .state
            .run(running.task().run())
            .map(v -> v.spec().resources())
            .orElse(Resources.NONE);
  }

  String orphanTeam(TaskId task) {
    return shared.state.run(task.run()).map(RunView::team).orElse("unknown");
  }

  void onEndedTask(WorkerLink link, WorkerReport.Ended ended, long nowMillis) {
    TaskId task = ended.task();
    RunEntry entry = shared.runs.get(task.run());
    takeOverHeld(link, entry, task, nowMillis);
    boolean isCurrent =
        entry != null && entry.attempt == task.attempt() && link.worker.equals(entry.worker);
    if (!isCurrent || entry.phase() == RunEntry.Phase.HELD) {
      link.forget.add(task);
      return;
    }
    if (entry.onWorker()) {
      ends.onTaskEnded(entry, ended.result(), nowMillis);
    }
  }

  void removeGoneTasks(WorkerLink link, WorkerReport report, long nowMillis) {
    var running =
        report.running().stream().map(WorkerReport.Running::task).collect(Collectors.toSet());
    var ended = report.ended().stream().map(WorkerReport.Ended::task).collect(Collectors.toSet());
    link.forget.retainAll(ended);
    List<TaskId> gone = link.orphans.keySet().stream().filter(t -> !running.contains(t)).toList();
    gone.forEach(t -> releaseOrphan(link, t, nowMillis));
  }

  void releaseOrphan(WorkerLink link, TaskId task, long nowMillis) {
    link.orphans.remove(task);
    shared.placer.release(task, ReleaseReason.STOPPED, nowMillis);
    waiting.requeue(task.run(), nowMillis);
  }

  /** Ends tasks that the worker reports neither as running nor as ended. */
  void endMissing(WorkerLink link, WorkerReport report, long sentAtMillis, long nowMillis) {
    var listed =
        Stream.concat(
                report.running().stream().map(WorkerReport.Running::task),
                report.ended().stream().map(WorkerReport.Ended::task))
            .collect(Collectors.toSet());
    link.tasks.values().stream()
        .filter(e -> e.onWorker() && !listed.contains(e.task()))
        .filter(e -> isSentAfterStart(e, sentAtMillis))
        .toList()
        .forEach(e -> endMissing(e, nowMillis));
  }

  /**
   * Returns whether the worker certainly handled the sync after the task's start: it reported the
   * start before the sync was sent, or it no longer handles the start call by then.
   */
  boolean isSentAfterStart(RunEntry entry, long syncSentAtMillis) {
    if (entry.confirmed) {
      return entry.confirmedAtMillis < syncSentAtMillis;
    }
    boolean isAdopted = entry.startSentAtMillis == 0;
    return isAdopted
        || entry.startSentAtMillis + shared.settings.callTimeoutMillis() < syncSentAtMillis;
  }

  void endMissing(RunEntry entry, long nowMillis) {
    boolean startedHere = entry.startSentAtMillis > 0;
    if (startedHere && !entry.confirmed && !entry.mayHaveRun) {
      ends.endNotRun(entry, ReleaseReason.START_FAILED, nowMillis);
      return;
    }
    ends.onLeaseExpired(entry, nowMillis);
  }
}
