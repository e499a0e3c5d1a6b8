package io.cactusspring.jobs.simulation;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.Executors.End;
import io.cactusspring.jobs.port.Executors.Ended;
import io.cactusspring.jobs.port.Executors.StartOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/** Knows the promises and nothing of the code that keeps them. */
public final class Oracle {
  /** Time from the answer to a cancellation until nothing of the job may start. */
  private static final long CANCEL_MILLIS = 3_000;

  private final ClusterSimulation simulation;
  private final Map<String, JobSpec> submitted = new HashMap<>();
  private final Map<String, Long> cancelledAtMillis = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private final Set<TaskId> acknowledgedDone = new HashSet<>();
  private final Map<TaskId, Integer> failures = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int startCount;

  Oracle(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  void submitted(JobSpec spec) {
    submitted.put(spec.id(), spec);
  }

  void cancelled(String job) {
    cancelledAtMillis.putIfAbsent(job, simulation.time().now());
  }

  JobSpec started(FakeExecutor executor, StartOrder order) {
    startCount++;
    TaskId task = order.task();
    JobSpec spec = submitted.get(task.job());
    if (spec == null) {
      recordViolation("unasked", task + " of a job that nobody submitted");
      throw new IllegalStateException("no job " + task.job());
    }
    simulation.executors().stream()
        .filter(e -> e != executor && e.isUp() && e.tasks().contains(task))
        .forEach(
            e -> recordViolation("twice", task + " runs on " + e.id() + " and " + executor.id()));
    if (acknowledgedDone.contains(task)) {
      recordViolation("twice", task + " starts after its end was noted");
    }
    spec.steps().get(task.step()).after().stream()
        .filter(s -> !allDone(spec, task, s))
        .forEach(s -> recordViolation("order", task + " starts before step " + s));
    Long cancelled = cancelledAtMillis.get(task.job());
    if (cancelled != null
        && simulation.time().now() > cancelled + CANCEL_MILLIS
        && simulation.isFaultFree()) {
      recordViolation("unasked", task + " starts after its job was cancelled");
    }
    if (failures.getOrDefault(task, 0) >= ClusterSimulation.MAX_ATTEMPTS) {
      recordViolation("budget", task + " starts after " + failures.get(task) + " failures");
    }
    return spec;
  }

  private boolean allDone(JobSpec spec, TaskId task, int step) {
    for (int i = 0; i < spec.steps().get(step).tasks(); i++) {
      if (!done.contains(new TaskId(task.job(), task.occurrence(), step, i))) {
        return false;
      }
    }
    return true;
  }

  void checkCapacity(FakeExecutor executor, Resources used, Resources capacity) {
    if (!used.fitsIn(capacity)) {
      recordViolation("limit", executor.id() + " has " + used + " of " + capacity);
    }
  }

  void ended(TaskId task, int run, End how) {
    if (how == End.DONE) {
      members(task).forEach(done::add);
    } else if (how == End.FAILED) {
      failures.merge(task, 1, Integer::sum);
    }
  }

  /** One member of a gang stands for all of them. */
  private List<TaskId> members(TaskId task) {
    StepSpec step = submitted.get(task.job()).steps().get(task.step());
    if (!step.gang()) {
      return List.of(task);
    }
    return IntStream.range(0, step.tasks())
        .mapToObj(i -> new TaskId(task.job(), task.occurrence(), task.step(), i))
        .toList();
  }

  void acknowledged(Ended end) {
    if (end.how() == End.DONE) {
      acknowledgedDone.add(end.task());
    }
  }

  /** Returns whether all tasks of a job have ended done. */
  public boolean isDone(JobSpec spec) {
    for (int s = 0; s < spec.steps().size(); s++) {
      if (!allDone(spec, new TaskId(spec.id(), 0, s, 0), s)) {
        return false;
      }
    }
    return true;
  }

  /** Takes note of a promise that was not kept. */
  public void recordViolation(String rule, String details) {
    violations.add(simulation.time().now() + " ms: " + rule + ": " + details);
  }

  public List<String> violations() {
    return violations;
  }

  public int startCount() {
    return startCount;
  }
}
