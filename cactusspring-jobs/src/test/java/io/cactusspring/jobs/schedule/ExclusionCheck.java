package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Checks the owner's state after a round of decisions: whatever keeps work from free room names
 * what ends it, and a search among all executors finds nothing that the round has not found.
 */
final class ExclusionCheck {
  private static final long MAX_QUARANTINE_MILLIS = 16_000;
  private static final long MAX_HOLD_MILLIS = 2_000;

  private final OwnerState state;
  private final Set<StepId> adviceRequested;
  private final long now;
  private final List<String> problems = new ArrayList<>();

  private ExclusionCheck(OwnerState state, Set<StepId> adviceRequested, long now) {
    this.state = state;
    this.adviceRequested = adviceRequested;
    this.now = now;
  }

  /**
   * Returns what is wrong with the state.
   *
   * @param adviceRequested the steps whose advice calls have neither been answered nor failed
   */
  static List<String> problems(OwnerState state, Set<StepId> adviceRequested, long now) {
    ExclusionCheck check = new ExclusionCheck(state, adviceRequested, now);
    state.waitingSteps.all().forEach(check::checkStep);
    state.executors.values().forEach(check::checkExecutor);
    return check.problems;
  }

  private void checkStep(LiveStep step) {
    if (step.tickets().callPending() && !adviceRequested.contains(step.id())) {
      problems.add(step.id() + " waits for an advice call that is not under way");
    }
    if (step.spec().gang()
        && step.tasks().stream().anyMatch(t -> t.run() != null && !t.run().stopping())) {
      problems.add(step.id() + " waits for members of its gang that nobody stops");
    }
    // Tasks that may crash their executor wait for one without fresh runs.
    List<LiveTask> due = step.due(now).filter(t -> !SuspectPlacement.isSuspect(t)).toList();
    int together = step.spec().gang() ? step.tasks().size() : 1;
    if (due.size() < together || !state.withinLimit(step, together)) {
      return;
    }
    Queue queue = state.queue(step.job());
    List<LiveExecutor> chosen = new ArrayList<>();
    for (int i = 0; i < together; i++) {
      executors(step, queue)
          .filter(e -> mayTake(e, chosen))
          .filter(e -> Placement.fits(e, step, queue, Collections.frequency(chosen, e)))
          .filter(e -> state.reservations.admits(e, step, Collections.frequency(chosen, e), now))
          .findFirst()
          .ifPresent(chosen::add);
    }
    if (chosen.size() == together) {
      problems.add(step.id() + " waits although it fits on " + chosen.get(0).id());
    }
  }

  private Stream<LiveExecutor> executors(LiveStep step, Queue queue) {
    return state.executors.values().stream()
        .filter(e -> !queue.needsAdvice() || step.tickets().valid(e, now).isPresent());
  }

  private boolean mayTake(LiveExecutor executor, List<LiveExecutor> chosen) {
    if (state.held.contains(executor)) {
      return false;
    }
    return executor.isUsable(now)
        || (executor.isUsableAsLastResort(now) && !chosen.contains(executor));
  }

  private void checkExecutor(LiveExecutor executor) {
    boolean unreachable = executor.isSilent() || !executor.isCallable();
    if (unreachable && !executor.runs().isEmpty() && !state.attention.contains(executor)) {
      problems.add(executor.id() + " has runs whose lease nobody watches");
    }
    if (state.held.contains(executor) && !mustBeHeld(executor)) {
      problems.add(executor.id() + " is held, and nothing ends that");
    }
    if (!executor.listed() || executor.isDraining() || executor.isUsable(now)) {
      return;
    }
    if (exclusion(executor).isEmpty()) {
      problems.add(executor.id() + " is excluded, and nothing ends that");
    }
  }

  /** Returns whether a suspect has just started on an executor, or waits for one. */
  private boolean mustBeHeld(LiveExecutor executor) {
    return executor.runs().stream()
            .anyMatch(r -> r.isContained() && now - r.decidedAt() < MAX_HOLD_MILLIS)
        || state.waitingSteps.all().stream()
            .flatMap(s -> s.due(now))
            .anyMatch(SuspectPlacement::isSuspect);
  }

  /** Returns what excludes a listed executor, if it is certain to end or the executor's state. */
  private Optional<String> exclusion(LiveExecutor executor) {
    boolean asked = executor.renewalInFlight() || state.renewable.contains(executor);
    if (executor.isSilent() || !executor.hasReported()) {
      return Optional.of("no report").filter(r -> asked);
    }
    if (executor.isQuarantined(now)) {
      return Optional.of("quarantine")
          .filter(r -> !executor.isQuarantined(now + MAX_QUARANTINE_MILLIS))
          .filter(r -> state.attention.contains(executor));
    }
    if (executor.isSuspect()) {
      return Optional.of("overdue start").filter(r -> state.attention.contains(executor));
    }
    return Optional.of("zone")
        .filter(r -> !state.zones.admits(executor.id(), executor.info().zone(), now));
  }
}
