package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Moves runs off executors that drain and out of evacuated availability zones.
 *
 * <p>A run that is still active when its executor leaves is lost, and is known to be lost only once
 * the lease has lapsed. Stopping it in time makes its end certain and saves a checkpoint.
 * Long-running tasks move at once; other tasks keep running as long as the remaining time allows.
 *
 * <p>The executors of an evacuated zone do not announce that they leave. Their runs are stopped
 * only while there is room for them elsewhere, and only if they resume from a checkpoint or the
 * disruption budget of their step permits it. All others run to their end.
 */
final class RunMoves {
  /** Time for the stop to arrive and for the end to be reported, besides the stop itself. */
  private static final long STOP_MARGIN_MILLIS = 300;

  // Bounds the work of the owner; a stopped task starts elsewhere after some 200 ms at the
  // earliest.
  private static final long ZONE_INTERVAL_MILLIS = 100;

  private final OwnerState state;
  private final RunLifecycle runs;
  private final long beganAt;
  private long zonesDueAt;

  private record Located(LiveExecutor executor, Run run) {}

  RunMoves(OwnerState state, RunLifecycle runs, long now) {
    this.state = state;
    this.runs = runs;
    beganAt = now;
    zonesDueAt = now;
  }

  /** Moves runs off draining executors. */
  void leaveDraining(long now) {
    state.draining.forEach(e -> leaveDraining(e, now));
  }

  private void leaveDraining(LiveExecutor executor, long now) {
    boolean leavesSoon = now >= executor.leavesAt() - stopReportedMillis();
    List.copyOf(executor.runs()).stream()
        .filter(RunMoves::isActive)
        .filter(r -> leavesSoon || r.spec().longRunning())
        .forEach(r -> move(executor, r, "executor drains", now));
  }

  /** Returns how long it takes until the end of a run that is stopped now is known. */
  private long stopReportedMillis() {
    return state.settings.stopMillis() + STOP_MARGIN_MILLIS;
  }

  private static boolean isActive(Run run) {
    return run.phase() == Run.Phase.RUNNING && !run.stopping();
  }

  private void move(LiveExecutor executor, Run run, String reason, long now) {
    runs.stop(executor, run, Kind.RUN_MOVED, reason, now);
  }

  /** Moves runs out of evacuated zones for which there is room elsewhere. */
  void leaveEvacuatedZones(long now) {
    if (!state.zones.hasEvacuated() || now < zonesDueAt || previousStopsMayBeUnknown(now)) {
      return;
    }
    zonesDueAt = now + ZONE_INTERVAL_MILLIS;
    List<Located> current =
        state.executors.values().stream()
            .filter(e -> e.isCallable() && state.zones.isEvacuated(e.info().zone()))
            .flatMap(e -> e.runs().stream().filter(this::isCurrent).map(r -> new Located(e, r)))
            .toList();
    Map<LiveStep, List<Located>> movable =
        byStep(current, l -> reports(l.executor) && isActive(l.run) && mayStop(l.run.spec()));
    if (!movable.isEmpty()) {
      Room room = new Room(now);
      byStep(current, l -> l.run.stopping()).forEach((s, runs) -> room.take(s, runs.size()));
      movable.forEach((step, located) -> moveStep(step, located, room, now));
    }
  }

  private Map<LiveStep, List<Located>> byStep(List<Located> located, Predicate<Located> filter) {
    return located.stream()
        .filter(filter)
        .collect(
            Collectors.groupingBy(
                l -> state.task(l.run.key().task()).step(),
                LinkedHashMap::new,
                Collectors.toList()));
  }

  /**
   * Returns whether runs that the previous owner stopped may still appear to be active. Until that
   * is known, another stop could exceed the disruption budget of a step.
   */
  private boolean previousStopsMayBeUnknown(long now) {
    return now - beganAt < stopReportedMillis();
  }

  private static boolean reports(LiveExecutor executor) {
    return executor.hasReported() && !executor.isSilent();
  }

  private boolean isCurrent(Run run) {
    LiveTask task = state.task(run.key().task());
    return task != null && task.run() == run;
  }

  private static boolean mayStop(StepSpec spec) {
    return spec.checkpoints() || spec.maxUnavailable() > 0;
  }

  private void moveStep(LiveStep step, List<Located> located, Room room, long now) {
    // Waiting tasks show that there is no room for more tasks of the step.
    if (step.hasWaiting()) {
      return;
    }
    int wanted = Math.min(allowedMoves(step), located.size());
    if (wanted <= 0) {
      return;
    }
    int found = room.take(step, wanted);
    if (step.spec().gang() && found < located.size()) {
      room.giveBack(step);
      return;
    }
    located.stream()
        .limit(found)
        .forEach(
            l ->
                move(l.executor, l.run, "zone " + l.executor.info().zone() + " is evacuated", now));
  }

  /** Returns how many runs of a step may be stopped now. */
  private static int allowedMoves(LiveStep step) {
    StepSpec spec = step.spec();
    long notServing = step.tasks().stream().filter(t -> !t.isDone() && !isServing(t)).count();
    if (spec.gang() && (notServing > 0 || (spec.longRunning() && budget(spec) < spec.tasks()))) {
      // The other members of a gang are stopped as well, and start again together.
      return 0;
    }
    if (!spec.longRunning()) {
      return spec.checkpoints() ? Integer.MAX_VALUE : 0;
    }
    return budget(spec) - (int) notServing;
  }

  /** Returns how many tasks of a long-running step may be unavailable because of a move. */
  private static int budget(StepSpec spec) {
    // The specification of a task that saves checkpoints permits to stop it.
    return Math.max(spec.maxUnavailable(), spec.checkpoints() ? 1 : 0);
  }

  private static boolean isServing(LiveTask task) {
    Run run = task.run();
    return run != null && isActive(run) && reports(task.executor());
  }

  /** The room on executors that take new tasks, less what is planned for stopped runs. */
  private final class Room {
    private final List<LiveExecutor> usable;
    private final Map<LiveExecutor, Resources> taken = new HashMap<>();
    private final Map<LiveStep, Map<LiveExecutor, Integer>> planned = new HashMap<>();

    Room(long now) {
      usable =
          state.executors.values().stream()
              .filter(e -> e.isUsable(now) && !e.free().equals(Resources.NONE))
              .toList();
    }

    /** Takes room for further tasks of a step; returns for how many there is room. */
    int take(LiveStep step, int tasks) {
      Queue queue = state.queue(step.job());
      Resources one = step.spec().committed();
      Map<LiveExecutor, Integer> ofStep = planned.computeIfAbsent(step, s -> new HashMap<>());
      int found = 0;
      for (LiveExecutor executor : usable) {
        if (found == tasks) {
          break;
        }
        boolean allowed = !queue.needsAdvice() || step.tickets().isAllowed(executor);
        if (step.tickets().isDenied(executor) || (!allowed && found > 0)) {
          continue;
        }
        // An executor that the advice service was not asked about may be denied, so only one run is
        // stopped for it.
        int max = allowed ? tasks : 1;
        while (found < max && fits(executor, step, queue, ofStep.getOrDefault(executor, 0))) {
          taken.merge(executor, one, Resources::plus);
          ofStep.merge(executor, 1, Integer::sum);
          found++;
        }
      }
      return found;
    }

    private boolean fits(LiveExecutor executor, LiveStep step, Queue queue, int plannedTasks) {
      Resources needed = taken.getOrDefault(executor, Resources.NONE).plus(step.spec().committed());
      return Placement.mayRun(executor, step, queue, plannedTasks)
          && needed.fitsIn(executor.free());
    }

    /** Gives back all room that was taken for a step. */
    void giveBack(LiveStep step) {
      planned
          .remove(step)
          .forEach(
              (e, n) ->
                  taken.computeIfPresent(e, (k, r) -> r.minus(step.spec().committed().times(n))));
    }
  }
}
