package io.cactusspring.core.fuzz;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.shard.OwnerCommand;
import io.cactusspring.core.shard.StartResult;
import io.cactusspring.core.shard.TaskResult;
import io.cactusspring.core.shard.WorkerReport;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Fake of a worker's agent; enforces epochs and leases and nothing else. */
final class FakeWorker {
  static final String FAILING_PAYLOAD = "fail";

  private final WorkerInfo info;
  private final DriftingClock clock;
  private final EventQueue events;
  private final ExecutionOracle oracle;
  private final TreeMap<TaskId, Running> running = new TreeMap<>();
  private final TreeMap<TaskId, TaskResult> ended = new TreeMap<>();
  private int incarnation;
  private long highestEpoch;
  private long leaseMillis;
  boolean failsStarts;

  private static final class Running {
    private final TaskSpec spec;
    private long leaseEndsAt;

    Running(TaskSpec spec, long leaseEndsAt) {
      this.spec = spec;
      this.leaseEndsAt = leaseEndsAt;
    }
  }

  FakeWorker(
      WorkerInfo info,
      DriftingClock clock,
      EventQueue events,
      ExecutionOracle oracle,
      long leaseMillis) {
    this.info = info;
    this.clock = clock;
    this.events = events;
    this.oracle = oracle;
    this.leaseMillis = leaseMillis;
  }

  WorkerInfo info() {
    return info;
  }

  /** Sets the length of leases granted or renewed from now on, in milliseconds. */
  void leaseMillis(long millis) {
    leaseMillis = millis;
  }

  StartResult start(long epoch, OwnerCommand.Start s) {
    if (epoch < highestEpoch) {
      return StartResult.FENCED;
    }
    highestEpoch = epoch;
    if (running.containsKey(s.task()) || ended.containsKey(s.task())) {
      return StartResult.STARTED;
    }
    if (failsStarts) {
      return StartResult.NOT_RUN;
    }
    running.put(s.task(), new Running(s.spec(), leaseEnd()));
    oracle.recordStart(info, s.task(), s.spec());
    watchLease(s.task());
    if (s.spec().expectedMillis() > 0) {
      int startedIncarnation = incarnation;
      events.schedule(s.spec().expectedMillis(), () -> finish(s.task(), startedIncarnation));
    }
    return StartResult.STARTED;
  }

  /** Returns empty if the worker has seen a higher epoch. */
  Optional<WorkerReport> sync(long epoch, OwnerCommand.Sync s) {
    if (epoch < highestEpoch) {
      return Optional.empty();
    }
    highestEpoch = epoch;
    s.renew().stream().map(running::get).forEach(this::renew);
    s.stop().forEach(t -> end(t, TaskResult.STOPPED));
    s.checkpoint().forEach(t -> end(t, TaskResult.CHECKPOINTED));
    s.forget().forEach(ended::remove);
    return Optional.of(report());
  }

  /** Replaces the agent; all its tasks and results are lost. */
  void restart() {
    List.copyOf(running.keySet()).forEach(t -> end(t, TaskResult.LAPSED));
    ended.clear();
    highestEpoch = 0;
    incarnation++;
  }

  private void renew(Running r) {
    if (r != null) {
      r.leaseEndsAt = leaseEnd();
    }
  }

  private WorkerReport report() {
    List<WorkerReport.Running> runs =
        running.entrySet().stream()
            .map(e -> new WorkerReport.Running(e.getKey(), resources(e.getValue()), null))
            .toList();
    List<WorkerReport.Ended> ends =
        ended.entrySet().stream()
            .map(e -> new WorkerReport.Ended(e.getKey(), e.getValue()))
            .toList();
    return new WorkerReport(info.name() + "-" + incarnation, runs, ends);
  }

  private static Resources resources(Running r) {
    return r.spec.resources();
  }

  private long leaseEnd() {
    return events.now() + clock.trueDuration(leaseMillis);
  }

  private void watchLease(TaskId task) {
    Running r = running.get(task);
    if (r == null) {
      return;
    }
    if (events.now() >= r.leaseEndsAt) {
      end(task, TaskResult.LAPSED);
    } else {
      events.schedule(r.leaseEndsAt - events.now(), () -> watchLease(task));
    }
  }

  private void finish(TaskId task, int startedIncarnation) {
    Running r = running.get(task);
    if (r != null && startedIncarnation == incarnation) {
      boolean fails = r.spec.payload().equals(FAILING_PAYLOAD);
      end(task, fails ? TaskResult.FAILED : TaskResult.SUCCEEDED);
    }
  }

  private void end(TaskId task, TaskResult result) {
    if (running.remove(task) != null) {
      ended.put(task, result);
      oracle.recordEnd(info, task, result);
    }
  }
}
