package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds out what holds a step that waits, after a round of placement. It changes nothing. */
final class WaitDiagnosis {
  private final OwnerState state;
  private final AdviceSlots slots;
  private final Map<LiveStep, Integer> stepsBefore;

  /**
   * Creates a diagnosis of one moment.
   *
   * @param stepsBefore the number of steps of the same service that rank before a step
   */
  WaitDiagnosis(OwnerState state, AdviceSlots slots, Map<LiveStep, Integer> stepsBefore) {
    this.state = state;
    this.slots = slots;
    this.stepsBefore = stepsBefore;
  }

  /** Numbers of executors that are large enough for a step and have its label. */
  private static final class Survey {
    private final Map<Exclusion, Integer> excluded = new EnumMap<>(Exclusion.class);
    private final Map<Exclusion, Integer> excludedWithRoom = new EnumMap<>(Exclusion.class);
    private int usable;
    private int withRoom;
    private int denied;
    private int unasked;
    private int held;
    private int reserved;
    private int open;
    private int placeable;
  }

  /** Returns what holds a step now. */
  WaitReason of(LiveStep step, long now) {
    try {
      return find(step, now);
    } catch (RuntimeException e) {
      // Unlike an error of a decision, this one must not end the term.
      return new WaitReason.Undetermined(e + " at " + e.getStackTrace()[0]);
    }
  }

  private WaitReason find(LiveStep step, long now) {
    if (step.job().isSetAside()) {
      return new WaitReason.SetAside();
    }
    boolean gang = step.spec().gang();
    List<LiveTask> due = step.due(now).toList();
    if (due.isEmpty() || (gang && due.size() < step.tasks().size())) {
      return notDue(step, now);
    }
    if (!state.withinLimit(step, gang ? due.size() : 1)) {
      return new WaitReason.Limit(step.job().spec().organisation());
    }
    int max = state.settings.maxBegunTasks();
    int room = step.job().roomForNewTasks(max);
    long fresh = due.stream().filter(t -> !t.hasBegun()).count();
    if (gang ? fresh > room : fresh == due.size() && room <= 0) {
      return new WaitReason.BegunTasks(max);
    }
    return placementReason(step, due, survey(step, now), now);
  }

  /** Returns what holds a step of which no task, or not the whole gang, is due. */
  private WaitReason notDue(LiveStep step, long now) {
    List<LiveExecutor> unanswered =
        step.tasks().stream()
            .map(LiveTask::executor)
            .filter(e -> e != null && !e.answers())
            .toList();
    Optional<LiveExecutor> last =
        unanswered.stream().max(Comparator.comparingLong(LiveExecutor::leaseLapsesAt));
    if (last.isPresent()) {
      long left = Math.max(0, last.get().leaseLapsesAt() - now);
      return new WaitReason.Lease(last.get().id(), unanswered.size(), left);
    }
    long retryAt = step.waiting().mapToLong(LiveTask::retryAt).max().orElse(now);
    return retryAt > now
        ? new WaitReason.RetryPause(
            step.waiting().mapToLong(LiveTask::retryAt).filter(t -> t > now).min().orElse(now)
                - now)
        : new WaitReason.Gang(step.waitingTasks(), step.tasks().size());
  }

  private Survey survey(LiveStep step, long now) {
    Queue queue = state.queue(step.job());
    StepSpec spec = step.spec();
    Survey survey = new Survey();
    state.executors.values().stream()
        .filter(e -> e.isCallable() && e.info().service().equals(queue.service()))
        .filter(e -> e.hasLabel(spec.requiredLabel()))
        .filter(e -> spec.committed().fitsIn(e.info().capacity()))
        .forEach(e -> count(survey, e, step, queue, now));
    return survey;
  }

  private void count(Survey survey, LiveExecutor executor, LiveStep step, Queue queue, long now) {
    boolean room = Placement.fits(executor, step, queue, 0);
    String zone = executor.info().zone();
    Optional<Exclusion> exclusion =
        Exclusion.of(executor, state.zones.admits(executor.id(), zone, now), now);
    if (exclusion.isPresent()) {
      survey.excluded.merge(exclusion.get(), 1, Integer::sum);
      if (room) {
        survey.excludedWithRoom.merge(exclusion.get(), 1, Integer::sum);
      }
      return;
    }
    survey.usable++;
    if (!room) {
      return;
    }
    survey.withRoom++;
    if (queue.needsAdvice() && step.tickets().valid(executor, now).isEmpty()) {
      survey.denied += step.tickets().isDenied(executor) ? 1 : 0;
      survey.unasked += step.tickets().isDenied(executor) ? 0 : 1;
    } else if (state.held.contains(executor)) {
      survey.held++;
    } else if (!step.spec().gang() && !state.reservations.admits(executor, step, 0, now)) {
      survey.reserved++;
    } else {
      survey.open++;
      survey.placeable += tasksThatFit(step, executor, queue);
    }
  }

  private static int tasksThatFit(LiveStep step, LiveExecutor executor, Queue queue) {
    int fitting = 0;
    while (fitting < step.tasks().size() && Placement.fits(executor, step, queue, fitting)) {
      fitting++;
    }
    return fitting;
  }

  private WaitReason placementReason(LiveStep step, List<LiveTask> due, Survey found, long now) {
    if (found.withRoom == 0) {
      return roomReason(step, found);
    }
    boolean enough = !step.spec().gang() || found.placeable >= due.size();
    boolean lacksTickets = found.denied + found.unasked > 0 && (found.open == 0 || !enough);
    if (lacksTickets && found.held + found.reserved == 0) {
      return adviceReason(step, found, now);
    }
    if (found.open == 0) {
      return found.reserved > 0
          ? new WaitReason.Reserved(found.reserved)
          : new WaitReason.Suspect(found.held);
    }
    if (!enough) {
      return new WaitReason.Gang(found.placeable, due.size());
    }
    return due.stream().allMatch(SuspectPlacement::isSuspect)
        ? new WaitReason.Suspect(found.held)
        : new WaitReason.Unexplained(found.open);
  }

  private WaitReason roomReason(LiveStep step, Survey found) {
    if (!found.excludedWithRoom.isEmpty()) {
      return new WaitReason.Excluded(found.excludedWithRoom, found.usable);
    }
    if (found.usable > 0) {
      int before = stepsBefore.getOrDefault(step, 0);
      return before > 0
          ? new WaitReason.Order(before, found.usable)
          : new WaitReason.Room(found.usable);
    }
    return found.excluded.isEmpty()
        ? new WaitReason.NoExecutor(state.queue(step.job()).service())
        : new WaitReason.Excluded(found.excluded, 0);
  }

  private WaitReason adviceReason(LiveStep step, Survey found, long now) {
    Tickets tickets = step.tickets();
    if (tickets.callPending()) {
      return new WaitReason.AdvicePending(tickets.pendingMillis(now), found.denied);
    }
    if (found.unasked == 0) {
      return found.open > 0
          ? new WaitReason.Gang(found.placeable, step.tasks().size())
          : new WaitReason.Denied(found.denied);
    }
    return tickets.mayCall(now)
        ? new WaitReason.NoCaller(slots.usage())
        : new WaitReason.AdviceRetry(tickets.nextCallAt() - now);
  }
}
