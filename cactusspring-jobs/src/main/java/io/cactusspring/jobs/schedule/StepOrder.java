package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which ready steps are placed.
 *
 * <p>Long-running tasks come first, because they have to run all the time. Jobs that are too late
 * to be of use to their callers come last. The other steps are ordered by the priority of their
 * queue, then by whether the job can still meet its objective, then by how much of the capacity the
 * organisation uses relative to its weight.
 */
final class StepOrder {
  /** Whether a job can meet its latency objective. */
  private enum ObjectiveStatus {
    IN_TIME,
    LATE,
    /** Too late to be of use to the caller. */
    OVERDUE
  }

  private record Rank(
      boolean finite,
      boolean overdue,
      int priority,
      ObjectiveStatus objectiveStatus,
      double shareUsed,
      long objectiveAt,
      long since) {}

  private static final Comparator<Rank> ORDER =
      Comparator.comparing(Rank::finite)
          .thenComparing(Rank::overdue)
          .thenComparingInt(Rank::priority)
          .thenComparing(Rank::objectiveStatus)
          .thenComparingDouble(Rank::shareUsed)
          .thenComparingLong(Rank::objectiveAt)
          .thenComparingLong(Rank::since);

  /** Shares are rounded down to this step, so that age decides between similar shares. */
  private static final double SHARE_STEP = 0.1;

  /** A result is of use to the caller up to this multiple of the objective. */
  private static final int OVERDUE_MULTIPLE = 3;

  /** Estimates of callers are rough, but tasks rarely take less than this fraction of one. */
  private static final double MIN_ESTIMATE_FRACTION = 0.6;

  private final OwnerState state;

  StepOrder(OwnerState state) {
    this.state = state;
  }

  /** Returns the steps in the order in which they are to be placed. */
  List<LiveStep> sorted(List<LiveStep> steps, long now) {
    if (steps.size() < 2) {
      return steps;
    }
    Resources total = state.totalCapacity();
    Map<LiveStep, Rank> ranks = new IdentityHashMap<>();
    steps.forEach(s -> ranks.put(s, rank(s, total, now)));
    return steps.stream().sorted(Comparator.comparing(ranks::get, ORDER)).toList();
  }

  private Rank rank(LiveStep step, Resources total, long now) {
    Queue queue = state.queue(step.job());
    String organisation = step.job().spec().organisation();
    double weight =
        state.configuration.organisation(organisation).map(Organisation::weight).orElse(1.0);
    double share = state.usage(organisation).dominantShareOf(total) / Math.max(weight, 1e-3);
    double steps = Double.isFinite(share) ? Math.floor(share / SHARE_STEP) : 0;
    long objective = objectiveMillis(step, queue);
    ObjectiveStatus objectiveStatus = objectiveStatus(step, objective, now);
    return new Rank(
        !step.spec().longRunning(),
        objectiveStatus == ObjectiveStatus.OVERDUE && step.job().spec().repetitions() == 0,
        queue.priority(),
        objectiveStatus,
        steps,
        step.job().submittedAt() + objective,
        step.readySince());
  }

  /** Returns whether a job can still meet its objective. */
  boolean isInTime(LiveStep step, Queue queue, long now) {
    return objectiveStatus(step, objectiveMillis(step, queue), now) == ObjectiveStatus.IN_TIME;
  }

  private ObjectiveStatus objectiveStatus(LiveStep step, long objectiveMillis, long now) {
    double left =
        isObserved(step.job())
            ? RemainingWork.of(step.job(), state.durations).criticalPathMillis()
            : MIN_ESTIMATE_FRACTION
                * step.job().steps().stream()
                    .filter(s -> !s.isDone())
                    .mapToLong(s -> s.spec().estimateMillis())
                    .sum();
    double total = now - step.job().submittedAt() + left;
    if (total <= objectiveMillis) {
      return ObjectiveStatus.IN_TIME;
    }
    return total <= OVERDUE_MULTIPLE * (double) objectiveMillis
        ? ObjectiveStatus.LATE
        : ObjectiveStatus.OVERDUE;
  }

  /** Returns whether expected durations are more than the estimates of callers. */
  private boolean isObserved(LiveJob job) {
    return state.durations.hasObservations(job.spec().queue().name());
  }

  private long objectiveMillis(LiveStep step, Queue queue) {
    if (isObserved(step.job())) {
      return Math.round(ExpectedCompletion.objectiveMillis(step.job(), queue, state.durations));
    }
    long estimate = step.job().spec().steps().stream().mapToLong(s -> s.estimateMillis()).sum();
    return Math.round(queue.stretch() * estimate) + queue.targetLatencyMillis();
  }
}
