package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.Queue;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Places tasks that may crash their executor: beside proven runs only, so that the next crash has
 * one possible cause, and where the least work would be lost.
 *
 * <p>An executor is held, which means that nothing else is started there, while a suspect on it is
 * not proven, or while it is reserved for one.
 */
final class SuspectPlacement {
  private static final long SEARCH_INTERVAL_MILLIS = 20;

  /** A suspect that finds no executor without unproven runs for this time reserves one. */
  private static final long RESERVE_AFTER_MILLIS = 200;

  /** A suspect that found room for this time starts beside unproven runs if need be. */
  private static final long MAX_WAIT_MILLIS = 1_500;

  /** An executor whose suspect is not answered for is not held longer than this. */
  private static final long MAX_HOLD_MILLIS = 2_000;

  /** One executor of this many may be held; others have to find room meanwhile. */
  private static final int HELD_SHARE = 2;

  private static final class Wait {
    private long nextSearchAt = Long.MIN_VALUE;
    private long since = Long.MAX_VALUE;
    private Optional<LiveExecutor> reserved = Optional.empty();
    private long reservedUntil;

    boolean hasReserved(LiveExecutor executor) {
      return reserved.filter(executor::equals).isPresent();
    }
  }

  private final OwnerState state;
  private final Map<LiveTask, Wait> waits = new IdentityHashMap<>();

  SuspectPlacement(OwnerState state) {
    this.state = state;
  }

  /** Returns whether a task must be placed apart from others. */
  static boolean isSuspect(LiveTask task) {
    CrashCount crashes = task.attempts().crashes();
    return crashes.early() > 0 || crashes.attributed() > 1 || crashes.all() > 2;
  }

  /** Releases what is not needed any more. */
  void beginRound(long now) {
    if (!waits.isEmpty()) {
      waits.keySet().removeIf(t -> !t.isWaiting() || t.step().job().isFinal() || !isSuspect(t));
      waits.values().stream()
          .filter(w -> now >= w.reservedUntil)
          .forEach(w -> w.reserved = Optional.empty());
    }
    if (!state.held.isEmpty()) {
      List<LiveExecutor> released = state.held.stream().filter(e -> !mustBeHeld(e, now)).toList();
      released.forEach(this::release);
    }
  }

  private void release(LiveExecutor executor) {
    state.held.remove(executor);
    state.gainedCapacity(executor);
  }

  private boolean mustBeHeld(LiveExecutor executor, long now) {
    return isReserved(executor)
        || executor.runs().stream()
            .anyMatch(
                r ->
                    r.isContained() && !r.isProvenAt(now) && now - r.decidedAt() < MAX_HOLD_MILLIS);
  }

  private boolean isReserved(LiveExecutor executor) {
    return waits.values().stream().anyMatch(w -> w.hasReserved(executor));
  }

  /** Returns whether nothing else may be started on an executor for a moment. */
  boolean isHeld(LiveExecutor executor) {
    return state.held.contains(executor);
  }

  /** Returns whether the pause after the last search for a task is over. */
  boolean searchDue(LiveTask task, long now) {
    Wait wait = waits.computeIfAbsent(task, t -> new Wait());
    if (now < wait.nextSearchAt) {
      return false;
    }
    wait.nextSearchAt = now + SEARCH_INTERVAL_MILLIS;
    return true;
  }

  /**
   * Chooses an executor for a suspect, or reserves one.
   *
   * @param usable executors that may run the task if they have room
   */
  Optional<LiveExecutor> choose(LiveTask task, Queue queue, List<LiveExecutor> usable, long now) {
    Wait wait = waits.computeIfAbsent(task, t -> new Wait());
    List<LiveExecutor> free =
        usable.stream().filter(e -> !state.held.contains(e) || wait.hasReserved(e)).toList();
    List<LiveExecutor> fitting =
        free.stream().filter(e -> Placement.fits(e, task.step(), queue, 0)).toList();
    boolean mayHold = state.held.size() < Math.max(1, usable.size() / HELD_SHARE);
    if (!fitting.isEmpty() && wait.since == Long.MAX_VALUE) {
      wait.since = now;
    }
    boolean late = wait.since != Long.MAX_VALUE && now - wait.since >= MAX_WAIT_MILLIS;
    Optional<LiveExecutor> chosen =
        fitting.stream()
            .filter(e -> late || (hasOnlyProvenRuns(e, now) && (mayHold || state.held.contains(e))))
            .min(leastWorkAtRisk());
    if (chosen.isEmpty()) {
      reserve(wait, free, mayHold, late, task, queue, now);
    }
    return chosen;
  }

  private void reserve(
      Wait wait,
      List<LiveExecutor> free,
      boolean mayHold,
      boolean late,
      LiveTask task,
      Queue queue,
      long now) {
    boolean due = !late && wait.since != Long.MAX_VALUE && now - wait.since >= RESERVE_AFTER_MILLIS;
    if (!due || !mayHold || wait.reserved.isPresent()) {
      return;
    }
    wait.reserved =
        free.stream()
            .filter(e -> task.step().spec().committed().fitsIn(e.info().capacity()))
            .min(
                Comparator.comparing((LiveExecutor e) -> !Placement.fits(e, task.step(), queue, 0))
                    .thenComparingLong(e -> unproven(e, now)));
    wait.reserved.ifPresent(state.held::add);
    wait.reservedUntil = now + MAX_WAIT_MILLIS;
  }

  private static long unproven(LiveExecutor executor, long now) {
    return executor.runs().stream().filter(r -> !r.isProvenAt(now)).count();
  }

  private static boolean hasOnlyProvenRuns(LiveExecutor executor, long now) {
    return unproven(executor, now) == 0;
  }

  /** Prefers an empty executor, then one with little work that a crash would lose. */
  private static Comparator<LiveExecutor> leastWorkAtRisk() {
    return Comparator.comparing((LiveExecutor e) -> !e.runs().isEmpty())
        .thenComparingLong(e -> e.used().milliProcessors())
        .thenComparingInt(e -> e.runs().size());
  }

  /** Returns the executors on which members of a suspected gang may be started. */
  List<LiveExecutor> candidatesOfGang(LiveTask first, List<LiveExecutor> candidates, long now) {
    Wait wait = waits.computeIfAbsent(first, t -> new Wait());
    if (!candidates.isEmpty() && wait.since == Long.MAX_VALUE) {
      wait.since = now;
    }
    boolean late = wait.since != Long.MAX_VALUE && now - wait.since >= MAX_WAIT_MILLIS;
    return late ? candidates : candidates.stream().filter(e -> hasOnlyProvenRuns(e, now)).toList();
  }

  /**
   * Records that a suspect was placed; its executor is held until the run is proven. Another one
   * that was reserved for it is released.
   */
  void started(LiveTask task, long now) {
    Optional<LiveExecutor> reserved =
        Optional.ofNullable(waits.remove(task)).flatMap(w -> w.reserved);
    task.run().contain();
    state.held.add(task.executor());
    reserved.filter(e -> !mustBeHeld(e, now)).ifPresent(this::release);
  }
}
