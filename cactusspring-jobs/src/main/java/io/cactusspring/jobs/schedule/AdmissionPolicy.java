package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Decides whether a new job is accepted.
 *
 * <p>A job is rejected if one of its steps fits on no executor of its service. While work waits for
 * executors, a job is also rejected if it could not start early enough to be of use to its caller,
 * who learns that at once and can submit it again when the backlog has drained.
 */
final class AdmissionPolicy {
  /** A result is of use to the caller up to this multiple of the objective. */
  private static final int USEFUL_OBJECTIVES = 3;

  /**
   * Executors announce themselves again within a few seconds of a takeover or a restart. Before
   * that, a missing executor does not show that a job can never run.
   */
  static final long MIN_LISTED_MILLIS = 5_000;

  /** A suitable executor may join; callers should not ask for it more often than this. */
  static final long NEVER_FITS_RETRY_MILLIS = 30_000;

  /**
   * A caller cannot be asked to return in less than one second, so a job that is expected to start
   * earlier than that is served better by waiting.
   */
  static final long MIN_REJECTED_START_MILLIS = 1_000;

  private final OwnerState state;
  private final Backlog backlog;
  private final RejectedJobs rejected = new RejectedJobs();

  AdmissionPolicy(OwnerState state) {
    this.state = state;
    backlog = new Backlog(state);
  }

  /**
   * Decides about a job that is neither accepted nor possibly stored. Call {@link #accepted} if the
   * job is accepted then.
   */
  Admission admit(JobSpec spec, long now) {
    Optional<Admission.Rejected> rejection = rejectUnfit(spec, now).or(() -> rejectLate(spec, now));
    rejection.ifPresent(
        r ->
            state.decisionListener.decisionMade(
                DecisionListener.Kind.JOB_REJECTED, spec.id(), spec.queue().name(), r.reason()));
    return rejection.<Admission>map(r -> r).orElseGet(Admission.Admitted::new);
  }

  /** Records an accepted job, which delays jobs that are submitted after it. */
  void accepted(JobSpec spec, long now) {
    rejected.remove(spec.id());
    backlog.add(spec, now);
  }

  private Optional<Admission.Rejected> rejectUnfit(JobSpec spec, long now) {
    String service = spec.queue().service();
    boolean known = listed(service).anyMatch(e -> now - e.listedAt() >= MIN_LISTED_MILLIS);
    if (!known) {
      return Optional.empty();
    }
    return spec.steps().stream()
        .filter(step -> !fits(step, service))
        .findFirst()
        .map(
            step -> {
              rejected.add(spec.id(), now);
              return new Admission.Rejected(
                  "no executor of "
                      + service
                      + " can run step "
                      + spec.steps().indexOf(step)
                      + ": "
                      + step.tasks()
                      + (step.gang() ? " tasks at once" : " tasks")
                      + " of "
                      + step.committed()
                      + " with label \""
                      + step.requiredLabel()
                      + "\"",
                  NEVER_FITS_RETRY_MILLIS);
            });
  }

  private Stream<LiveExecutor> listed(String service) {
    return state.executors.values().stream()
        .filter(e -> e.listed() && e.isCallable() && e.info().service().equals(service));
  }

  /**
   * Returns whether the listed executors could run a step if they were empty. The tasks of a step
   * that is no gang may run one after the other.
   */
  private boolean fits(StepSpec step, String service) {
    Predicate<LiveExecutor> suitable =
        e -> e.hasLabel(step.requiredLabel()) && step.committed().fitsIn(e.info().capacity());
    Stream<LiveExecutor> executors = listed(service).filter(suitable);
    if (!step.gang()) {
      return executors.findAny().isPresent();
    }
    if (step.tasks() > state.settings.maxBegunTasks()) {
      return false;
    }
    int missing = step.tasks();
    for (LiveExecutor executor : (Iterable<LiveExecutor>) executors::iterator) {
      missing -= members(executor, step, missing);
      if (missing == 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many tasks of a step run on an empty executor at the same time. */
  private static int members(LiveExecutor executor, StepSpec step, int max) {
    int limit = step.maxPerExecutor() == 0 ? max : Math.min(max, step.maxPerExecutor());
    int members = 0;
    while (members < limit
        && step.committed().times(members + 1).fitsIn(executor.info().capacity())) {
      members++;
    }
    return members;
  }

  private Optional<Admission.Rejected> rejectLate(JobSpec spec, long now) {
    Queue queue = state.configuration.queue(spec.queue().name()).orElse(spec.queue());
    ResourceKind kind = state.scarceResource(queue.service(), now);
    boolean longRunning = spec.steps().stream().anyMatch(StepSpec::longRunning);
    boolean needsScarce = spec.steps().stream().anyMatch(s -> kind.of(s.committed()) > 0);
    boolean off = !state.uses(Mechanism.ADMISSION);
    if (off || longRunning || !needsScarce || spec.repetitions() > 0) {
      return Optional.empty();
    }
    RemainingWork work = RemainingWork.of(spec, state.durations, kind);
    double latestStart = usefulMillis(queue, work.criticalPathMillis()) - work.criticalPathMillis();
    double allowed =
        Math.max(MIN_REJECTED_START_MILLIS, latestStart) + rejected.waitedMillis(spec.id(), now);
    Backlog.Load load = backlog.ahead(queue, allowed, now);
    if (!load.isShortage() || load.expectedStartMillis() <= allowed) {
      return Optional.empty();
    }
    double share = work.work() / load.capacity();
    long retryAfter =
        rejected.add(
            spec.id(), queue.service(), queue.priority(), load.expectedStartMillis(), share, now);
    return Optional.of(
        new Admission.Rejected(
            "expected start in "
                + Math.round(load.expectedStartMillis())
                + " ms, useful until "
                + Math.round(allowed)
                + " ms; backlog of "
                + Math.round(load.work())
                + " ms x "
                + kind
                + " for "
                + Math.round(load.capacity())
                + ", "
                + Math.round(load.waiting())
                + " waiting for "
                + Math.round(load.free())
                + " free ones",
            retryAfter));
  }

  /** Returns for how long after its submission the result of a job is of use to the caller. */
  static double usefulMillis(Queue queue, double criticalPathMillis) {
    return USEFUL_OBJECTIVES * (queue.stretch() * criticalPathMillis + queue.targetLatencyMillis());
  }
}
