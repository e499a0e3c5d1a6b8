package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LeaseBounds;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.model.ZoneStates;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import io.cactusspring.jobs.port.ExecutorClient.Target;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Makes the scheduling decisions of the entry host that owns the executors, for one term.
 *
 * <p>The caller passes in submissions, reports of executors and answers to requests, and carries
 * out the {@link Action}s that {@link #decide} returns. Times are milliseconds of a monotonic
 * clock, unless a parameter says otherwise. Instances are not thread-safe.
 *
 * <pre>{@code
 * scheduler.submitted(entry, wallMillis, now);
 * List<Action> actions = scheduler.decide(slots, wallMillis, now);
 * Changes changes = scheduler.takeChanges(); // store these, then carry out the starts
 * }</pre>
 *
 * @since 0.2
 */
public final class JobScheduler {
  // How long an executor may delay its answer. It answers at once when a run ends.
  private static final long LEASE_RENEWAL_WAIT_MILLIS = 1_000;
  private static final long FAILED_RENEWAL_PAUSE_MILLIS = 250;
  // Longer than an executor takes to answer a start.
  private static final long BLOCKED_ACKNOWLEDGEMENT_PAUSE_MILLIS = 20;
  private static final long SHORT_LEASE_RENEWAL_WAIT_MILLIS = 100;
  // Well below the lease, which is not renewed while the request waits for the store.
  private static final long STORE_WAIT_MILLIS = 500;

  private final OwnerState state;
  private final RunLifecycle runs;
  private final ErrorContainment containment;
  private final ReportReconciler reports;
  private final StartAnswerHandler startAnswers;
  private final AdvicePlanner advice;
  private final Placement placement;
  private final RunMonitor monitor;
  private final RunMoves moves;
  private final WaitMonitor waits;
  private final Throttle throttle;
  private final AdmissionPolicy admission;
  private final AnnouncementAge announcements = new AnnouncementAge();
  private final PriorityQueue<DueOccurrence> dueOccurrences =
      new PriorityQueue<>(Comparator.comparingLong(DueOccurrence::wallMillis));
  private InheritedLeases earlierLeases;
  private final RecordedLeases recordedLeases;
  private long lastVersion;
  private boolean zonesWereConfirmed;
  private boolean startsHeld;

  /** The next occurrence of a scheduled job, which is due at a time in Unix milliseconds. */
  private record DueOccurrence(long wallMillis, LiveJob job) {}

  /**
   * Changes that have to be stored before the starts that depend on them are sent.
   *
   * @param jobs progress of each changed job, by job id
   * @param ends received ends of runs that are not stored yet
   */
  public record Changes(Map<String, JobProgress> jobs, List<ReceivedEnds> ends) {
    public boolean isEmpty() {
      return jobs.isEmpty() && ends.isEmpty();
    }
  }

  /**
   * The ends of runs received from one boot of an executor. The executor may delete them once they
   * are stored.
   *
   * @param bootMillis the boot that numbered the ends
   * @param number the highest number received
   */
  public record ReceivedEnds(String executor, long bootMillis, long number) {}

  /**
   * Creates a scheduler that takes over the executors from a previous owner that may have granted
   * leases until now.
   *
   * @param entries the jobs in the ledger at the offset of the claim
   * @param specs returns the submission of any job, including finished ones
   * @param wallMillis the time of day, in Unix milliseconds
   */
  public JobScheduler(
      SchedulerSettings settings,
      long term,
      Collection<JobEntry> entries,
      Function<String, Optional<JobSpec>> specs,
      DecisionListener decisionListener,
      long wallMillis,
      long now) {
    this(
        settings,
        term,
        entries,
        specs,
        decisionListener,
        InheritedLeases.until(now + settings.previousOwnerLeaseMillis()),
        wallMillis,
        now);
  }

  /**
   * Creates a scheduler that takes over the executors from the previous owners.
   *
   * @param entries the jobs in the ledger at the offset of the claim
   * @param specs returns the submission of any job, including finished ones
   * @param earlierLeases when the leases of the previous owners have lapsed
   * @param wallMillis the time of day, in Unix milliseconds
   */
  public JobScheduler(
      SchedulerSettings settings,
      long term,
      Collection<JobEntry> entries,
      Function<String, Optional<JobSpec>> specs,
      DecisionListener decisionListener,
      InheritedLeases earlierLeases,
      long wallMillis,
      long now) {
    this.earlierLeases = earlierLeases;
    state = new OwnerState(settings, term, specs, decisionListener);
    recordedLeases = new RecordedLeases(state, earlierLeases, now);
    runs = new RunLifecycle(state);
    containment = new ErrorContainment(state, runs);
    reports = new ReportReconciler(state, runs);
    startAnswers = new StartAnswerHandler(state, runs);
    advice = new AdvicePlanner(state);
    StepOrder order = new StepOrder(state, new ShortageMonitor(state));
    placement = new Placement(state, runs, advice, order);
    monitor = new RunMonitor(state, runs);
    moves = new RunMoves(state, runs, now);
    waits = new WaitMonitor(state, now);
    throttle = new Throttle(state);
    admission = new AdmissionPolicy(state);
    entries.stream()
        .filter(e -> e.spec().isPresent())
        .forEach(e -> containment.guardJob(e.id(), now, () -> adopt(e, wallMillis, now)));
  }

  public long term() {
    return state.term;
  }

  /** Returns the state that the decisions are based on. */
  OwnerState state() {
    return state;
  }

  private void adopt(JobEntry entry, long wallMillis, long now) {
    if (entry.isFinalStateStored()) {
      JobSpec spec = entry.spec().orElseThrow();
      long acceptedAt = LiveJob.acceptedAt(spec, wallMillis, now);
      state.accounts.submitted(spec.organisation(), acceptedAt, () -> {});
      adoptRunsOfEndedJob(entry, wallMillis, now);
      return;
    }
    LiveJob job = new LiveJob(entry, state.waitingSteps, wallMillis, now);
    job.markAdopted();
    state.addJob(job);
    entry.progress().ifPresent(p -> p.steps().forEach(s -> adoptRuns(job, s, now)));
    job.steps().forEach(this::logRestoredFailures);
    job.steps().forEach(s -> runs.restartIncompleteGang(s, now));
    schedule(job, wallMillis, now);
    if (entry.cancelled()) {
      cancelled(entry.id(), now);
    }
  }

  private void logRestoredFailures(LiveStep step) {
    if (step.hasFailures()) {
      state.decisionListener.decisionMade(
          DecisionListener.Kind.FAILURES_RESTORED,
          step.job().id(),
          step.tasks().get(0).id().stepId().toString(),
          step.describeFailures());
    }
  }

  private void adoptRunsOfEndedJob(JobEntry entry, long wallMillis, long now) {
    List<StepProgress> steps = entry.progress().map(JobProgress::steps).orElse(List.of());
    if (!steps.isEmpty()) {
      LiveJob job = new LiveJob(entry, state.waitingSteps, wallMillis, now);
      steps.forEach(s -> adoptRuns(job, s, now));
      state.addEndedJob(job);
    }
  }

  private void adoptRuns(LiveJob job, StepProgress stored, long now) {
    List<TaskProgress> tasks = stored.tasks();
    for (int i = 0; i < tasks.size(); i++) {
      TaskProgress p = tasks.get(i);
      if (p.executor().isEmpty()) {
        continue;
      }
      TaskId id = new TaskId(job.id(), stored.occurrence(), stored.step(), i);
      LiveExecutor executor = state.executor(p.executor());
      executor.restoreBoot(p.bootMillis());
      executor.lease().inherit(earlierLeases.lapseAt(executor.id()));
      earlierLeases.longLapseAt(executor.id()).ifPresent(executor.lease()::inheritLong);
      Run run =
          new Run(
              new RunKey(id, p.run()),
              job.spec().steps().get(stored.step()),
              job.spec(),
              Run.Phase.RUNNING,
              now);
      run.bootMillis(p.bootMillis());
      state.addRun(executor, run, now);
      if (UnassignedRun.isNamedBy(p)) {
        run.stop();
      } else {
        job.task(id).assign(run, executor);
      }
    }
  }

  /** Records that the leases of the previous owners lapse sooner than was known before. */
  public void earlierLeasesShortened(InheritedLeases shortened) {
    earlierLeases = shortened;
    recordedLeases.inherit(shortened);
    for (LiveExecutor executor : state.executors.values()) {
      executor.lease().inheritedShortened(shortened.lapseAt(executor.id()));
      state.touch(executor);
    }
  }

  /** Starts with the duration factors of executor labels that a previous owner learned. */
  public void inheritDurationFactors(Map<String, Double> factorByLabel) {
    state.learned.inherit(factorByLabel);
  }

  /** Returns the learned duration factors of executor labels, for a later owner. */
  public Map<String, Double> durationFactors() {
    return state.learned.sharedFactors();
  }

  /** Applies a configuration. */
  public void configure(SiteConfiguration configuration) {
    state.configure(configuration);
  }

  /** Records an executor's announcement. */
  public void executorListed(ExecutorInfo info, long now) {
    containment.guardExecutor(info.id(), now, () -> applyAnnouncement(info, now));
  }

  private void applyAnnouncement(ExecutorInfo info, long now) {
    LiveExecutor executor = state.executor(info.id());
    boolean changed = !executor.listed() || !info.equals(executor.info());
    earlierLeases.longLapseAt(executor.id()).ifPresent(executor.lease()::inheritLong);
    // Whether the earlier boot was draining is known until the announcement is applied.
    reports.bootAnnounced(executor, info.bootMillis(), now);
    executor.announced(info, state.settings.drainMillis(), now);
    state.learned.executorListed(executor);
    if (changed) {
      executorChanged(executor);
      state.gainedCapacity(executor);
      runs.withdrawBeyondCapacity(executor, now);
    }
  }

  /**
   * Applies the states of the availability zones. Starts that were decided in an evacuated zone and
   * are not sent yet are withdrawn.
   */
  public void updateZones(ZoneStates zones, long now) {
    state.zones.update(zones, now);
    state.executors.values().stream()
        .filter(e -> e.isCallable() && state.zones.isEvacuated(e.info().zone()))
        .forEach(e -> withdrawDecided(e, now));
  }

  private void withdrawDecided(LiveExecutor executor, long now) {
    List.copyOf(executor.runs()).stream()
        .filter(r -> r.phase() == Run.Phase.DECIDED && executor.run(r.key()) == r)
        .forEach(r -> runs.lost(executor, r, "zone is evacuated before the start was sent", now));
  }

  /**
   * Records that the states of the zones are known as of a time.
   *
   * @param when when the last completed read of the operators' records was sent
   */
  public void zonesConfirmed(long when) {
    state.zones.confirmed(when);
  }

  /**
   * Records that the announcements of the executors are known as of a time.
   *
   * @param when when the last read was sent that returned all announcements stored until then
   */
  public void announcementsConfirmed(long when) {
    announcements.confirmed(when);
  }

  /**
   * Returns whether starts may be sent. They are held while the announcements were confirmed so
   * long ago that a capacity may have shrunk unnoticed.
   */
  public boolean mayStart(long now) {
    boolean held = !announcements.allowsStarts(now);
    if (held && !startsHeld) {
      state.decisionListener.decisionMade(
          DecisionListener.Kind.STARTS_HELD,
          "",
          "",
          "announcements were last confirmed "
              + announcements.millis(now)
              + " ms ago, expected at most "
              + AnnouncementAge.MAX_MILLIS);
    }
    startsHeld = held;
    return !held;
  }

  /**
   * Retries all steps once the zones are confirmed again, because no executor was usable before.
   */
  private void retryAfterUnconfirmedZones(long now) {
    boolean confirmed = state.zones.isConfirmed(now);
    if (confirmed && !zonesWereConfirmed) {
      state.waitingSteps.all().forEach(LiveStep::retry);
    }
    zonesWereConfirmed = confirmed;
  }

  private void executorChanged(LiveExecutor executor) {
    state.executorsChanged();
    state.touch(executor);
    if (executor.isDraining()) {
      state.draining.add(executor);
    } else {
      state.draining.remove(executor);
    }
  }

  /** Records that an executor is no longer announced. */
  public void executorUnlisted(String id) {
    LiveExecutor executor = state.executors.get(id);
    if (executor != null) {
      executor.unlisted();
      executorChanged(executor);
      if (executor.runs().isEmpty()) {
        state.removeExecutor(executor);
      }
    }
  }

  /**
   * Decides whether a new job may be accepted. Must not be called for a job that is accepted or may
   * be stored already.
   */
  public Admission admit(JobSpec spec, long now) {
    return admission.admit(spec, now);
  }

  /** Adds an accepted job; does nothing if it is known or final already. */
  public void submitted(JobEntry entry, long wallMillis, long now) {
    if (!state.jobs.containsKey(entry.id()) && !entry.state().isFinal()) {
      containment.guardJob(entry.id(), now, () -> add(entry, wallMillis, now));
    }
  }

  private void add(JobEntry entry, long wallMillis, long now) {
    LiveJob job = new LiveJob(entry, state.waitingSteps, wallMillis, now);
    state.addJob(job);
    schedule(job, wallMillis, now);
    admission.accepted(job.spec(), now);
  }

  /** Adds the occurrences of a job that are due, and schedules the next one. */
  private void schedule(LiveJob job, long wallMillis, long now) {
    job.addDue(wallMillis, state.settings.maxBegunTasks(), now)
        .ifPresent(due -> dueOccurrences.add(new DueOccurrence(due, job)));
    job.markReady(now);
  }

  /** Cancels a job and stops its runs. */
  public void cancelled(String id, long now) {
    LiveJob job = state.jobs.get(id);
    if (job != null) {
      runs.finish(job, JobState.CANCELLED, now);
      state.decisionListener.decisionMade(
          DecisionListener.Kind.JOB_CANCELLED, id, "", "cancelled by its caller");
    }
  }

  /**
   * Returns the actions that are due.
   *
   * @param wallMillis the time of day, in Unix milliseconds, for scheduled jobs
   */
  public List<Action> decide(AdviceSlots slots, long wallMillis, long now) {
    addDueOccurrences(wallMillis, now);
    monitor.check(now);
    state.zones.admitReturning(state.executors.values(), now).forEach(state::gainedCapacity);
    retryAfterUnconfirmedZones(now);
    moves.leaveDraining(now);
    placement.place(slots, now);
    moves.leaveEvacuatedZones(now);
    waits.check(slots, placement.ranked(), now);
    List<Action> decided = new ArrayList<>(state.actions);
    state.actions.clear();
    return decided;
  }

  private void addDueOccurrences(long wallMillis, long now) {
    List<DueOccurrence> postponed = new ArrayList<>();
    while (!dueOccurrences.isEmpty() && dueOccurrences.peek().wallMillis <= wallMillis) {
      DueOccurrence next = dueOccurrences.remove();
      if (next.job.isFinal()) {
        continue;
      }
      if (next.job.hasRoomForOccurrence(state.settings.maxBegunTasks())) {
        containment.guardJob(next.job.id(), now, () -> schedule(next.job, wallMillis, now));
      } else {
        postponed.add(next);
      }
    }
    dueOccurrences.addAll(postponed);
  }

  /**
   * Returns changes that have to be stored. Each change is returned once; jobs that are left out
   * are returned by a later call.
   *
   * @param max maximum number of jobs
   * @param recordable whether the progress of a job may be stored now
   */
  public Changes takeChanges(int max, Predicate<String> recordable) {
    Map<String, JobProgress> jobs = new LinkedHashMap<>();
    boolean complete = true;
    for (Iterator<LiveJob> i = state.changed.iterator(); i.hasNext(); ) {
      LiveJob job = i.next();
      if (!recordable.test(job.id())) {
        continue;
      }
      if (jobs.size() == max) {
        complete = false;
        break;
      }
      jobs.put(job.id(), job.progress(state.term, ++lastVersion, state.unassignedRuns(job)));
      i.remove();
    }
    // An end may be acknowledged only once all changes that it caused are stored.
    return new Changes(jobs, complete ? endsToStore() : List.of());
  }

  private List<ReceivedEnds> endsToStore() {
    return state.withEndsToStore.stream()
        .filter(LiveExecutor::hasEndsToStore)
        .map(e -> new ReceivedEnds(e.id(), e.bootMillis(), e.lastReceivedEnd()))
        .toList();
  }

  /** Returns whether any job has changes that {@link #takeChanges} has not returned yet. */
  public boolean hasChanges() {
    return !state.changed.isEmpty();
  }

  /** Returns the jobs with changes that {@link #takeChanges} has not returned yet. */
  public Set<String> changedJobs() {
    return state.changed.stream().map(LiveJob::id).collect(Collectors.toSet());
  }

  /** Returns whether a job has changes that {@link #takeChanges} has not returned yet. */
  public boolean hasChanges(String job) {
    LiveJob live = state.jobs.get(job);
    return live != null && state.changed.contains(live);
  }

  /**
   * Returns what a later owner has to know of leases: it must be stored before a lease is granted
   * to any executor that it does not name as silent.
   */
  public LeaseBounds leaseBounds(long now) {
    return recordedLeases.bounds(now);
  }

  /**
   * Returns how long the lease on an executor may last if it may be longer than leases of owners: a
   * later owner has to know that before the executor gets more tasks or leases. 0 if it is not.
   */
  public long longLeaseMillis(String executor, long now) {
    return recordedLeases.longLeaseMillis(executor, now);
  }

  /** Returns whether an executor has runs and does not answer. */
  public boolean hasUnansweredRuns(String executor, long now) {
    return recordedLeases.contains(executor, now);
  }

  /** Returns whether any run of a job may still be active on an executor. */
  public boolean hasRuns(String job) {
    return state.hasRuns(job);
  }

  /** Records that ends are stored, so that the executors may delete them. */
  public void endsStored(List<ReceivedEnds> ends, long now) {
    for (ReceivedEnds received : ends) {
      LiveExecutor executor = state.executors.get(received.executor());
      if (executor != null) {
        executor.endsStored(received.number(), received.bootMillis(), now);
        if (!executor.hasEndsToStore()) {
          state.withEndsToStore.remove(executor);
        }
        state.renewable.add(executor);
      }
    }
  }

  /** Returns the ids of the executors to which a lease renewal has to be sent now. */
  public List<String> executorsToRenew(long now) {
    List<String> due = new ArrayList<>();
    for (Iterator<LiveExecutor> i = state.renewable.iterator(); i.hasNext(); ) {
      LiveExecutor executor = i.next();
      if (!executor.isCallable() || executor.renewalInFlight() || !needsLeaseRenewal(executor)) {
        i.remove();
      } else if (executor.mayRenew(now) && !waitsForStore(executor, now)) {
        i.remove();
        due.add(executor.id());
      }
    }
    return due;
  }

  private static boolean needsLeaseRenewal(LiveExecutor executor) {
    return !executor.isSetAside()
        && (!executor.hasReported()
            || !executor.runs().isEmpty()
            || executor.hasEndsToAcknowledge()
            || executor.isAnnouncedBootUnknown()
            || executor.isSilent());
  }

  /**
   * Returns whether the next lease renewal has to wait until ends are stored. While an executor
   * lists ends that it may not delete yet, it answers at once, and renewals would follow without a
   * pause.
   */
  private static boolean waitsForStore(LiveExecutor executor, long now) {
    return executor.hasReported()
        && executor.hasEndsToStore()
        && executor.endToAcknowledge(now) == 0
        && now - executor.answeredAt() < STORE_WAIT_MILLIS;
  }

  /** Returns whether an executor has a run that is being stopped, so that its report is urgent. */
  public boolean leaseRenewalIsUrgent(String id) {
    LiveExecutor executor = state.executors.get(id);
    return executor != null && executor.runs().stream().anyMatch(Run::stopping);
  }

  /** Returns the fencing token of the next call to an executor. */
  public long fencingToken(String id) {
    return state.fence(id).token();
  }

  /**
   * Returns whether an executor that refuses a call because of its fencing token may have seen the
   * token of a later owner, and not that of a later call of this owner.
   *
   * @param token the token of the call
   */
  public boolean isFencedByLaterOwner(String id, long token) {
    return token >= state.fence(id).token();
  }

  /** Returns the id and the address of a known executor. */
  public Target target(String id) {
    return state.executors.get(id).target();
  }

  /**
   * Builds the next lease renewal for an executor, which also requests a report, and extends the
   * lease.
   *
   * @param renew whether the lease may be extended; otherwise only a report is requested
   */
  public LeaseRenewalRequest leaseRenewalRequest(String id, boolean renew, long now) {
    return leaseRenewalRequest(id, renew, LEASE_RENEWAL_WAIT_MILLIS, now);
  }

  /**
   * Builds a request for a report of an executor to which a lease may be granted in a moment, and
   * which therefore answers soon.
   */
  public LeaseRenewalRequest reportRequest(String id, long now) {
    return leaseRenewalRequest(id, false, SHORT_LEASE_RENEWAL_WAIT_MILLIS, now);
  }

  private LeaseRenewalRequest leaseRenewalRequest(
      String id, boolean renew, long usualWait, long now) {
    LiveExecutor executor = state.executors.get(id);
    long end = executor.endToAcknowledge(now);
    // A silent executor may process the request late. A longer lease would only delay the time
    // from which its runs are certainly over.
    boolean mayRenew = renew && !executor.isSilent();
    long lease = mayRenew ? executor.lease().grant(state.settings.leaseMillis(), now) : 0;
    boolean immediate =
        !executor.hasReported()
            || executor.isSilent()
            || executor.runs().isEmpty()
            || executor.isAcknowledgementDue();
    long wait =
        immediate ? 0 : leaseRenewalIsUrgent(id) ? SHORT_LEASE_RENEWAL_WAIT_MILLIS : usualWait;
    LeaseRenewalRequest request =
        new LeaseRenewalRequest(lease, executor.fence().token(), end, wait);
    executor.renewalSent(request, now);
    state.touch(executor);
    return request;
  }

  /**
   * Processes the answer to a lease renewal.
   *
   * @param request the request as it was sent
   * @param sentAt when it was sent
   */
  public void leaseRenewalAnswered(
      String id, LeaseRenewalRequest request, long sentAt, LeaseRenewalResult result, long now) {
    boolean effective = request.leaseEndMillis() > 0 || request.acknowledgedEnd() > 0;
    if (effective && result instanceof LeaseRenewalResult.Unknown) {
      callUnanswered(id, request.fencingToken());
    }
    LiveExecutor executor = state.executors.get(id);
    if (executor == null) {
      if (request.leaseEndMillis() > 0 && result instanceof LeaseRenewalResult.Unknown) {
        state.lease(id).unanswered(true, now);
      }
      return;
    }
    containment.guardExecutor(
        id,
        now,
        () -> {
          if (executor.isInFlight(request)) {
            applyRenewalResult(executor, request, sentAt, result, now);
          } else {
            applyAbandonedRenewal(executor, request, sentAt, result, now);
          }
        });
  }

  /**
   * Records that a call to an executor got no answer, so that it may still be carried out.
   *
   * @param token its fencing token
   */
  public void callUnanswered(String id, long token) {
    state.fence(id).unanswered(token);
  }

  /**
   * Returns how long the next renewal waits. An executor that lists ends answers at once, also
   * while they cannot be acknowledged because of a start.
   */
  private static long pauseMillis(LiveExecutor executor) {
    if (executor.isAcknowledgementDue()) {
      return executor.isStartInFlight() ? BLOCKED_ACKNOWLEDGEMENT_PAUSE_MILLIS : 0;
    }
    return executor.isAnnouncedBootUnknown() ? FAILED_RENEWAL_PAUSE_MILLIS : 0;
  }

  /** Processes the answer to a renewal that was sent before a reboot was known. */
  private void applyAbandonedRenewal(
      LiveExecutor executor,
      LeaseRenewalRequest request,
      long sentAt,
      LeaseRenewalResult result,
      long now) {
    state.touch(executor);
    if (result instanceof LeaseRenewalResult.Report report
        && report.bootMillis() == executor.bootMillis()) {
      executor.lease().taken(request.leaseEndMillis(), report.clockMillis(), now);
      reports.reconcile(executor, sentAt, report, now);
    } else if (request.leaseEndMillis() > 0 && result instanceof LeaseRenewalResult.Unknown) {
      executor.lease().unanswered(true, now);
    }
  }

  private void applyRenewalResult(
      LiveExecutor executor,
      LeaseRenewalRequest request,
      long sentAt,
      LeaseRenewalResult result,
      long now) {
    executor.renewalAnswered(now + FAILED_RENEWAL_PAUSE_MILLIS);
    state.touch(executor);
    if (request.leaseEndMillis() > 0 && result instanceof LeaseRenewalResult.Unknown) {
      executor.lease().unanswered(false, now);
    }
    switch (result) {
      case LeaseRenewalResult.Report report -> {
        executor.lease().taken(request.leaseEndMillis(), report.clockMillis(), now);
        reports.reconcile(executor, sentAt, report, now);
        executor.acknowledgedEnd(request.acknowledgedEnd(), now);
        executor.renewalAnswered(now + pauseMillis(executor));
        throttle.adjust(executor, now);
      }
      case LeaseRenewalResult.Refused(Refusal reason) when reason == Refusal.FENCED ->
          // A later call of this owner has overtaken the renewal.
          executor.renewalAnswered(now);
      case LeaseRenewalResult.Refused refused -> {
        state.markSilent(executor, refused.reason().toString(), now);
        if (refused.reason() == Refusal.OTHER_BOOT) {
          state.crashes.observe(executor, Crash.Evidence.REPLACED, now);
          if (executor.isOverIfReplaced()) {
            runs.loseAll(executor, "another executor answers at its address", now);
          }
        }
      }
      case LeaseRenewalResult.Unknown unknown -> state.markSilent(executor, unknown.problem(), now);
    }
    if (!executor.listed() && executor.runs().isEmpty()) {
      state.removeExecutor(executor);
    }
  }

  /**
   * Builds the request to start a run that was decided.
   *
   * @return empty if the run must not be started any more
   */
  public Optional<StartRequest> startRequest(String executorId, RunKey key, long now) {
    return containment.computeForJob(
        key.task().job(), now, () -> prepareStart(executorId, key, now));
  }

  private Optional<StartRequest> prepareStart(String executorId, RunKey key, long now) {
    LiveExecutor executor = state.executors.get(executorId);
    Run run = executor == null ? null : executor.run(key);
    LiveTask task = state.task(key.task());
    if (run == null || run.stopping() || task == null || task.run() != run) {
      return Optional.empty();
    }
    if (executor.isCallable() && !executor.hasRoomToStart(run)) {
      runs.withholdStart(executor, run, now);
      return Optional.empty();
    }
    Optional<String> ticket = ticket(task, executor, now);
    if (!isStartable(executor, run, now) || ticket.isEmpty()) {
      if (run.phase() == Run.Phase.DECIDED) {
        runs.lost(executor, run, "executor, zone or ticket not usable any more", now);
      } else {
        run.stop();
      }
      return Optional.empty();
    }
    long lease = announcements.startLeaseMillis(state.settings.leaseMillis(), now);
    long leaseEnd =
        executor.lease().grant(state.zones.startLeaseMillis(zone(executor), lease, now), now);
    if (executor.isAcknowledgementInFlight()) {
      // Starts are held back meanwhile. If one is sent all the same, a boot that takes it must not
      // take the acknowledgement after it.
      executor.fence().raise();
    }
    run.startSent(leaseEnd, executor.fence().token(), now);
    run.bootMillis(executor.bootMillis());
    return Optional.of(
        new StartRequest(
            key.task(),
            key.number(),
            task.step().job().spec().payload(),
            leaseEnd,
            run.startToken(),
            run.checkpoint(),
            ticket.get()));
  }

  private boolean isStartable(LiveExecutor executor, Run run, long now) {
    if (run.phase() == Run.Phase.DECIDED) {
      return executor.maySend(run, now) && executor.hasClock();
    }
    // A start that was sent before is not sent again to a zone that is not in use.
    return state.zones.isInUse(zone(executor), now);
  }

  private static String zone(LiveExecutor executor) {
    return executor.isCallable() ? executor.info().zone() : "";
  }

  /** Returns whether starts on an executor have to wait for an acknowledgement of ends. */
  public boolean startsWaitForAcknowledgement(String id, long now) {
    LiveExecutor executor = state.executors.get(id);
    return executor != null && executor.mustWaitForAcknowledgement(now);
  }

  /**
   * Returns whether the request to start a run that was decided may grant a lease. It does not if
   * the executor takes no tasks any more; the request then withdraws the run.
   */
  public boolean startMayGrantLease(String executorId, RunKey key, long now) {
    LiveExecutor executor = state.executors.get(executorId);
    Run run = executor == null ? null : executor.run(key);
    return run != null && isStartable(executor, run, now);
  }

  private Optional<String> ticket(LiveTask task, LiveExecutor executor, long now) {
    boolean needed = state.queue(task.step().job()).needsAdvice();
    return needed ? task.step().tickets().valid(executor, now) : Optional.of("");
  }

  /**
   * Runs work that concerns one executor. If it fails unexpectedly, the executor gets no more
   * starts in this term.
   */
  public void guardExecutor(String id, long now, Runnable work) {
    containment.guardExecutor(id, now, work);
  }

  /** Processes the answer to a start. */
  public void startAnswered(String executorId, RunKey key, CommandResult result, long now) {
    LiveExecutor executor = state.executors.get(executorId);
    Run run = executor == null ? null : executor.run(key);
    if (run != null) {
      state.touch(executor);
      containment.guardJob(
          key.task().job(), now, () -> startAnswers.handle(executor, run, result, now));
    }
  }

  /** Processes the answer to a stop. */
  public void stopAnswered(String executorId, RunKey key, CommandResult result, long now) {
    LiveExecutor executor = state.executors.get(executorId);
    Run run = executor == null ? null : executor.run(key);
    if (run != null && result instanceof CommandResult.Done) {
      run.stopAnswered(now);
    }
  }

  /**
   * Processes the answer to a pace call.
   *
   * @param token its fencing token
   */
  public void paceAnswered(String executorId, RunKey key, long token, CommandResult result) {
    if (result instanceof CommandResult.Unknown) {
      // A later pace must not be followed by this one.
      callUnanswered(executorId, token);
    }
    LiveExecutor executor = state.executors.get(executorId);
    Run run = executor == null ? null : executor.run(key);
    if (run != null && !(result instanceof CommandResult.Done)) {
      run.paceFailed();
    }
  }

  /**
   * Processes the answer to an advice call.
   *
   * @param asked the ids of the executors that the call named
   * @param tickets the granted tickets, by executor id
   */
  public void adviceAnswered(
      StepId id, List<String> asked, Map<String, String> tickets, long sentAt, long now) {
    LiveStep step = state.step(id);
    if (step != null) {
      advice.answered(step, asked, tickets, sentAt, now);
    }
  }

  /** Records that an advice call failed. */
  public void adviceFailed(StepId id, String problem, long now) {
    LiveStep step = state.step(id);
    if (step != null) {
      advice.failed(step, problem, now);
    }
  }
}
