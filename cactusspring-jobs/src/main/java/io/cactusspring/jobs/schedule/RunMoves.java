package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

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
    active(executor)
        .filter(r -> leavesSoon || r.spec().longRunning())
        .forEach(r -> move(executor, r, "executor drains", now));
  }

  /** Returns how long it takes until the end of a run that is stopped now is known. */
  private long stopReportedMillis() {
    return state.settings.stopMillis() + STOP_MARGIN_MILLIS;
  }

  private static Stream<Run> active(LiveExecutor executor) {
    return List.copyOf(executor.runs()).stream()
        .filter(r -> r.phase() == Run.Phase.RUNNING && !r.stopping());
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
    List<LiveExecutor> left =
        state.executors.values().stream()
            .filter(e -> e.isCallable() && state.zones.isEvacuated(e.info().zone()))
            .filter(e -> !e.runs().isEmpty())
            .toList();
    Map<LiveStep, List<Located>> movable = new LinkedHashMap<>();
    left.stream()
        .filter(RunMoves::reports)
        .forEach(
            e ->
                active(e)
                    .filter(this::isCurrent)
                    .forEach(
                        r ->
                            movable
                                .computeIfAbsent(step(r), s -> new ArrayList<>())
                                .add(new Located(e, r))));
    if (movable.isEmpty()) {
      return;
    }
    Room room = new Room(now);
    left.forEach(e -> e.runs().stream().filter(Run::stopping).forEach(room::takeForStopped));
    movable.forEach((step, located) -> moveStep(step, located, room, now));
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

  private LiveStep step(Run run) {
    return state.task(run.key().task()).step();
  }

  private void moveStep(LiveStep step, List<Located> located, Room room, long now) {
    // Waiting tasks show that there is no room for more tasks of the step.
    if (step.hasWaiting()) {
      return;
    }
    int allowed = allowedMoves(step);
    if (allowed <= 0 || (step.spec().gang() && !allMembersRun(step))) {
      return;
    }
    int wanted = Math.min(allowed, located.size());
    int found = room.take(step, wanted);
    if (step.spec().gang() && found < located.size()) {
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
    if (!step.spec().longRunning()) {
      return step.spec().checkpoints() ? Integer.MAX_VALUE : 0;
    }
    // A task that saves checkpoints may be stopped by its specification, even without a budget.
    int budget = Math.max(step.spec().maxUnavailable(), step.spec().checkpoints() ? 1 : 0);
    return budget - (int) step.tasks().stream().filter(t -> !t.isDone() && !isServing(t)).count();
  }

  private static boolean isServing(LiveTask task) {
    Run run = task.run();
    return run != null
        && run.phase() == Run.Phase.RUNNING
        && !run.stopping()
        && reports(task.executor());
  }

  /** The other members of a gang are stopped as well, and start again together. */
  private static boolean allMembersRun(LiveStep step) {
    return step.tasks().stream().allMatch(RunMoves::isServing);
  }

  /** The room on executors that take new tasks, less what is planned for stopped runs. */
  private final class Room {
    private final List<LiveExecutor> usable;
    private final Map<LiveExecutor, Resources> taken = new HashMap<>();
    private final long now;

    Room(long now) {
      this.now = now;
      usable = state.executors.values().stream().filter(e -> e.isUsable(now)).toList();
    }

    /** Takes room for a run that is stopped already. */
    void takeForStopped(Run run) {
      if (isCurrent(run)) {
        take(step(run), 1);
      }
    }

    /** Takes room for further tasks of a step; returns for how many there is room. */
    int take(LiveStep step, int tasks) {
      Queue queue = state.queue(step.job());
      int found = 0;
      for (LiveExecutor executor : usable) {
        int planned = 0;
        while (found < tasks
            && !step.tickets().isDenied(executor)
            && fits(executor, step, queue, planned)) {
          taken.merge(executor, step.spec().committed(), Resources::plus);
          planned++;
          found++;
        }
        if (found == tasks) {
          break;
        }
      }
      return found;
    }

    private boolean fits(LiveExecutor executor, LiveStep step, Queue queue, int planned) {
      Resources needed = taken.getOrDefault(executor, Resources.NONE).plus(step.spec().committed());
      return Placement.mayRun(executor, step, queue, planned) && needed.fitsIn(executor.free());
    }
  }
}
