package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Makes room for tasks of the queues with the highest priority by stopping tasks of other queues
 * that resume from a checkpoint.
 *
 * <p>An instance is used for one round of placement. It reserves the capacity that becomes free, so
 * that no more runs are stopped than needed.
 */
final class Preemption {
  private static final int HIGHEST_PRIORITY = 0;

  /** From this progress on, a task completes sooner than it could be stopped and resumed. */
  private static final int NEARLY_DONE_PERCENT = 75;

  /** A younger run has made hardly any progress since it resumed. */
  private static final long MIN_RUN_MILLIS = 1_000;

  private final OwnerState state;
  private final RunLifecycle runs;
  private final Map<LiveExecutor, Resources> reserved = new HashMap<>();

  /**
   * @param amount what the runs to stop occupy of the scarce resource
   */
  private record Plan(LiveExecutor executor, List<Run> victims, double amount) {}

  Preemption(OwnerState state, RunLifecycle runs) {
    this.state = state;
    this.runs = runs;
  }

  static boolean mayPreempt(Queue queue) {
    return queue.priority() == HIGHEST_PRIORITY;
  }

  /**
   * Stops runs to make room for tasks of a step.
   *
   * @param tasks how many tasks need room
   * @return for how many of them capacity is free or becomes free on suitable executors
   */
  int makeRoom(LiveStep step, Queue queue, int tasks, long now) {
    List<LiveExecutor> suitable =
        state.executors.values().stream()
            .filter(e -> e.isUsable(now) && Placement.mayRun(e, step, queue, 0))
            .filter(e -> !queue.needsAdvice() || step.tickets().valid(e, now).isPresent())
            .toList();
    int made = 0;
    while (made < tasks && makeRoomForOne(step, suitable, now)) {
      made++;
    }
    return made;
  }

  private boolean makeRoomForOne(LiveStep step, List<LiveExecutor> suitable, long now) {
    Resources one = step.spec().committed();
    Optional<Plan> cheapest =
        suitable.stream()
            .flatMap(e -> plan(e, step, one, now).stream())
            .min(Comparator.comparingDouble(Plan::amount));
    cheapest.ifPresent(
        plan -> {
          plan.victims.forEach(
              r ->
                  runs.stop(
                      plan.executor,
                      r,
                      DecisionListener.Kind.RUN_PREEMPTED,
                      "makes room for " + step.id(),
                      now));
          reserved.merge(plan.executor, one, Resources::plus);
        });
    return cheapest.isPresent();
  }

  /** Returns the runs to stop so that one more task fits, or empty if it cannot be made to fit. */
  private Optional<Plan> plan(LiveExecutor executor, LiveStep step, Resources one, long now) {
    int max = step.spec().maxPerExecutor();
    if (max > 0 && step.runsOn(executor) >= max) {
      return Optional.empty();
    }
    Resources needed = one.plus(reserved.getOrDefault(executor, Resources.NONE));
    Resources ending = stopping(executor);
    ResourceKind kind = state.scarceResource(executor.info().service(), now);
    List<Run> victims = new ArrayList<>();
    for (Run run : candidates(executor, kind, now)) {
      if (needed.fitsIn(executor.freeWithout(ending))) {
        break;
      }
      victims.add(run);
      ending = ending.plus(run.committed());
    }
    double amount = victims.stream().mapToDouble(r -> kind.of(r.committed())).sum();
    return needed.fitsIn(executor.freeWithout(ending))
        ? Optional.of(new Plan(executor, victims, amount))
        : Optional.empty();
  }

  private static Resources stopping(LiveExecutor executor) {
    return executor.runs().stream()
        .filter(Run::stopping)
        .map(Run::committed)
        .reduce(Resources.NONE, Resources::plus);
  }

  private List<Run> candidates(LiveExecutor executor, ResourceKind kind, long now) {
    return executor.runs().stream()
        .filter(r -> isPreemptible(r, now))
        .sorted(Comparator.comparingDouble((Run r) -> kind.of(r.committed())).reversed())
        .toList();
  }

  private boolean isPreemptible(Run run, long now) {
    LiveTask task = state.task(run.key().task());
    return task != null
        && task.run() == run
        && run.phase() == Run.Phase.RUNNING
        && !run.stopping()
        && run.spec().checkpoints()
        && !run.spec().gang()
        && !run.spec().fills()
        && run.percent() < NEARLY_DONE_PERCENT
        && now - run.phaseAt() >= MIN_RUN_MILLIS
        && !mayPreempt(state.queue(task.step().job()));
  }

  /** Returns the free capacity of an executor after all its preemptible runs were stopped. */
  Resources freeAfterPreemption(LiveExecutor executor, long now) {
    Resources ending =
        executor.runs().stream()
            .filter(r -> r.stopping() || isPreemptible(r, now))
            .map(Run::committed)
            .reduce(Resources.NONE, Resources::plus);
    return executor.freeWithout(ending);
  }
}
