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
 * to be of use to their callers come last, until {@link AgedSteps} promotes them. The other steps
 * are ordered by the priority of their queue, then by whether the job can still meet its objective,
 * then by how much of the capacity the organisation uses relative to its weight.
 *
 * <p>In a shortage, jobs that exceed the agreed rate of their organisation come after the others.
 * Within a priority, jobs that the {@link ShortagePlan} defers come later, and organisations within
 * their entitlement precede those above it. Begun jobs then precede new ones, so that fewer jobs
 * are in progress at the same time, and the job that has to start first in order to complete in
 * time comes first.
 */
final class StepOrder {
  /** Whether a job can meet its latency objective. */
  private enum ObjectiveStatus {
    IN_TIME,
    LATE,
    /** Too late to be of use to the caller. */
    OVERDUE
  }

  /**
   * The criteria; those that apply only in a shortage, or only without one, are equal otherwise.
   */
  private record Rank(
      boolean finite,
      boolean notPromoted,
      boolean overdue,
      boolean surplus,
      int priority,
      boolean deferred,
      ObjectiveStatus objectiveStatus,
      double shareUsed,
      boolean isNew,
      long startAt,
      long since) {}

  private static final Comparator<Rank> ORDER =
      Comparator.comparing(Rank::finite)
          .thenComparing(Rank::notPromoted)
          .thenComparing(Rank::overdue)
          .thenComparing(Rank::surplus)
          .thenComparingInt(Rank::priority)
          .thenComparing(Rank::deferred)
          .thenComparing(Rank::objectiveStatus)
          .thenComparingDouble(Rank::shareUsed)
          .thenComparing(Rank::isNew)
          .thenComparingLong(Rank::startAt)
          .thenComparingLong(Rank::since);

  /** Shares are rounded down to this step, so that age decides between similar shares. */
  private static final double SHARE_STEP = 0.1;

  /** A result is of use to the caller up to this multiple of the objective. */
  private static final int OVERDUE_MULTIPLE = 3;

  /** Estimates of callers are rough, but tasks rarely take less than this fraction of one. */
  private static final double MIN_ESTIMATE_FRACTION = 0.6;

  /**
   * Expected durations are computed anew after this time. They are too expensive for each round, of
   * which a large site has hundreds a second, and no objective is this short.
   */
  private static final long EXPECTATION_LIFETIME_MILLIS = 20;

  /**
   * What is expected of the job of a step.
   *
   * @param objectiveMillis its target duration
   * @param leftMillis duration of its unfinished steps
   */
  private record Expectation(long objectiveMillis, double leftMillis) {}

  private final OwnerState state;
  private final ShortageMonitor shortage;
  private final AgedSteps aged;
  private final Map<LiveStep, Expectation> expectations = new IdentityHashMap<>();

  /** Ranks in a shortage, in which many steps wait; they are as old as the expectations at most. */
  private final Map<LiveStep, Rank> ranksInShortage = new IdentityHashMap<>();

  private long expectedAt = Long.MIN_VALUE / 2;

  StepOrder(OwnerState state, ShortageMonitor shortage) {
    this.state = state;
    this.shortage = shortage;
    aged = new AgedSteps(state);
  }

  /** Returns the steps in the order in which they are to be placed. */
  List<LiveStep> sorted(List<LiveStep> steps, long now) {
    if (now - expectedAt >= EXPECTATION_LIFETIME_MILLIS) {
      expectations.clear();
      ranksInShortage.clear();
      expectedAt = now;
    }
    if (shortage.update(steps, this::objective, now)) {
      ranksInShortage.clear();
    }
    if (aged.update(steps, s -> !isInTime(s, state.queue(s.job()), now), now)) {
      ranksInShortage.clear();
    }
    if (steps.size() < 2) {
      return steps;
    }
    Resources total = state.totalCapacity();
    Map<LiveStep, Rank> ranks = new IdentityHashMap<>();
    steps.forEach(s -> ranks.put(s, currentRank(s, total, now)));
    return steps.stream().sorted(Comparator.comparing(ranks::get, ORDER)).toList();
  }

  /** Returns whether a step is placed before all other finite ones because it waited for long. */
  boolean isPromoted(LiveStep step) {
    return aged.isPromoted(step);
  }

  private ShortageMonitor.Objective objective(LiveStep step, long now) {
    Expectation expected = expectation(step, state.queue(step.job()));
    return new ShortageMonitor.Objective(
        step.job().submittedAt() + expected.objectiveMillis,
        isOverdue(step, objectiveStatus(step, expected, now)));
  }

  private static boolean isOverdue(LiveStep step, ObjectiveStatus objectiveStatus) {
    return objectiveStatus == ObjectiveStatus.OVERDUE && step.job().spec().repetitions() == 0;
  }

  private Rank currentRank(LiveStep step, Resources total, long now) {
    return shortage.isShort(state.queue(step.job()).service())
        ? ranksInShortage.computeIfAbsent(step, s -> rank(s, total, now))
        : rank(step, total, now);
  }

  private Rank rank(LiveStep step, Resources total, long now) {
    LiveJob job = step.job();
    Queue queue = state.queue(job);
    boolean isShort = shortage.isShort(queue.service());
    Expectation expected = expectation(step, queue);
    ObjectiveStatus objectiveStatus = objectiveStatus(step, expected, now);
    long objectiveAt = job.submittedAt() + expected.objectiveMillis;
    return new Rank(
        !step.spec().longRunning(),
        !isPromoted(step),
        isOverdue(step, objectiveStatus),
        isSurplus(job, queue),
        queue.priority(),
        shortage.defers(queue.service(), job),
        objectiveStatus,
        isShort
            ? shortage.overuse(queue.service(), job.spec().organisation())
            : shareUsed(job, total),
        isShort && !job.hasBegun(),
        isShort ? objectiveAt - shortage.criticalPathMillis(job) : objectiveAt,
        step.readySince());
  }

  /** Returns the rounded share of the capacity that the organisation of a job uses. */
  private double shareUsed(LiveJob job, Resources total) {
    String organisation = job.spec().organisation();
    double weight =
        state.configuration.organisation(organisation).map(Organisation::weight).orElse(1.0);
    double share = state.usage(organisation).dominantShareOf(total) / Math.max(weight, 1e-3);
    return Double.isFinite(share) ? Math.floor(share / SHARE_STEP) : 0;
  }

  /** Returns whether a job comes after all others because it exceeds the agreed rate. */
  private boolean isSurplus(LiveJob job, Queue queue) {
    return job.surplus() && shortage.isShort(queue.service());
  }

  /** Returns whether tasks of lower priority may be stopped to make room for a step. */
  boolean mayPreempt(LiveStep step, Queue queue, long now) {
    return state.uses(Mechanism.PREEMPTION)
        && Preemption.mayPreempt(queue)
        && !isSurplus(step.job(), queue)
        && isInTime(step, queue, now);
  }

  /** Returns whether a job can still meet its objective. */
  boolean isInTime(LiveStep step, Queue queue, long now) {
    return objectiveStatus(step, expectation(step, queue), now) == ObjectiveStatus.IN_TIME;
  }

  private static ObjectiveStatus objectiveStatus(LiveStep step, Expectation expected, long now) {
    double total = now - step.job().submittedAt() + expected.leftMillis;
    if (total <= expected.objectiveMillis) {
      return ObjectiveStatus.IN_TIME;
    }
    return total <= OVERDUE_MULTIPLE * (double) expected.objectiveMillis
        ? ObjectiveStatus.LATE
        : ObjectiveStatus.OVERDUE;
  }

  private Expectation expectation(LiveStep step, Queue queue) {
    return expectations.computeIfAbsent(step, s -> newExpectation(s.job(), queue));
  }

  private Expectation newExpectation(LiveJob job, Queue queue) {
    if (state.durations.hasObservations(job.spec().queue().name())) {
      return new Expectation(
          Math.round(ExpectedCompletion.objectiveMillis(job, queue, state.durations)),
          RemainingWork.criticalPathMillis(job, state.durations));
    }
    long estimate = job.spec().steps().stream().mapToLong(s -> s.estimateMillis()).sum();
    long left =
        job.steps().stream()
            .filter(s -> !s.isDone())
            .mapToLong(s -> s.spec().estimateMillis())
            .sum();
    return new Expectation(
        Math.round(queue.stretch() * estimate) + queue.targetLatencyMillis(),
        MIN_ESTIMATE_FRACTION * left);
  }
}
