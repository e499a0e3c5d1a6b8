package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Executors that run accepted jobs in the order of their acceptance, as long as they declare, next
 * to an {@link AdmissionPolicy}.
 */
final class AdmissionCluster {
  private static final long STEP_MILLIS = 10;

  private record Active(LiveTask task, Run run, LiveExecutor executor, long endsAt) {}

  private final OwnerState state =
      new OwnerState(
          SchedulerSettings.builder().build(),
          1,
          id -> Optional.empty(),
          (kind, job, subject, reason) -> {});
  private final AdmissionPolicy policy = new AdmissionPolicy(state);
  private final List<Active> active = new ArrayList<>();
  private long now = 100_000;

  static Queue queue(String name, int priority, double stretch, long targetLatencyMillis) {
    return new Queue(
        name, "host", "/" + name, "svc", priority, 0, stretch, targetLatencyMillis, null, true);
  }

  static JobSpec job(String id, Queue queue, StepSpec... steps) {
    return new JobSpec(id, queue, "team", "", List.of(steps), 0, 0, 0, 0);
  }

  long now() {
    return now;
  }

  void addExecutor(String id, Resources capacity) {
    ExecutorInfo info =
        new ExecutorInfo(id, id + ":80", "svc", "z", false, -1, capacity, Set.of("rack1"), 1);
    state.executor(id).announced(info, 0, now);
    state.executorsChanged();
  }

  /** Submits a job, which is accepted if it is admitted. */
  Admission submit(JobSpec spec) {
    Admission admission = policy.admit(spec, now);
    if (admission instanceof Admission.Admitted) {
      accept(spec);
    }
    return admission;
  }

  /** Accepts a job without a decision, as one from the inbox. */
  void accept(JobSpec spec) {
    LiveJob job = new LiveJob(JobEntry.submitted(spec), state.waitingSteps, 0, now);
    state.jobs.put(job.id(), job);
    job.markReady(now);
    policy.accepted(spec, now);
  }

  /** Lets time pass. */
  void run(long millis) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      endTasks();
      startTasks();
    }
  }

  private void endTasks() {
    for (Iterator<Active> i = active.iterator(); i.hasNext(); ) {
      Active run = i.next();
      if (run.endsAt <= now) {
        i.remove();
        state.removeRun(run.executor, run.run, now);
        run.task.complete();
        LiveJob job = run.task.step().job();
        if (run.task.step().isDone()) {
          job.stepDone(run.task.step());
          job.markReady(now);
        }
        if (job.isFinal()) {
          state.removeJob(job);
        }
      }
    }
  }

  private void startTasks() {
    for (LiveStep step : state.waitingSteps.all()) {
      step.due(now).toList().forEach(this::startIfRoom);
    }
  }

  private void startIfRoom(LiveTask task) {
    StepSpec spec = task.step().spec();
    state.executors.values().stream()
        .filter(e -> spec.committed().fitsIn(e.free()))
        .findFirst()
        .ifPresent(
            e -> {
              Run run =
                  new Run(
                      new RunKey(task.id(), 1),
                      spec,
                      task.step().job().spec(),
                      Run.Phase.RUNNING,
                      now);
              state.addRun(e, run, now);
              task.assign(run, e);
              long end = spec.longRunning() ? Long.MAX_VALUE : now + spec.estimateMillis();
              active.add(new Active(task, run, e, end));
            });
  }

  long waitingTasks() {
    return state.waitingSteps.all().stream().mapToLong(s -> s.due(now).count()).sum();
  }

  /** Returns the processor time that accepted jobs need to complete. */
  double remainingWorkMillis() {
    double running =
        active.stream()
            .mapToDouble(a -> (a.endsAt - now) * ResourceKind.PROCESSORS.of(a.run.committed()))
            .sum();
    double waiting =
        state.jobs.values().stream()
            .flatMap(j -> j.steps().stream())
            .flatMap(s -> s.tasks().stream())
            .filter(LiveTask::isWaiting)
            .mapToDouble(
                t ->
                    (double) t.step().spec().estimateMillis()
                        * ResourceKind.PROCESSORS.of(t.step().spec().committed()))
            .sum();
    return running + waiting;
  }
}
