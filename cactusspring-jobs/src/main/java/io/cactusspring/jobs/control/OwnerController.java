package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.link.PeerMessage.VerdictKind;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.ExecutorClient;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.PeerException;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.Action;
import io.cactusspring.jobs.schedule.Admission;
import io.cactusspring.jobs.schedule.JobScheduler;
import io.cactusspring.jobs.schedule.JobScheduler.Changes;
import io.cactusspring.jobs.schedule.JobScheduler.ReceivedEnds;
import io.cactusspring.jobs.schedule.RunKey;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Executes one term as owner of the executors.
 *
 * <p>Decisions are stored in batches, with the term as the writer's epoch. A submission is
 * accepted, a start is sent, and the end of a run acknowledged, only after the batch that contains
 * it is stored.
 */
final class OwnerController {
  private static final long TICK_MILLIS = 50;
  private static final long SWEEP_INTERVAL_MILLIS = 5_000;
  private static final int MAX_BATCH_RECORDS = 200;
  // Shorter than the time without heartbeats after which another host claims ownership.
  private static final long MIN_OWNERSHIP_CONFIRMATION_MILLIS = 600;
  // Other hosts add three response times of the store to that time before they claim.
  private static final int CONFIRMATION_RESPONSES = 2;

  /**
   * Time without a stored record, of which several are sent each second, after which the store is
   * considered unavailable.
   */
  private static final long MIN_STORE_TIMEOUT_MILLIS = 1_200;

  private static final int STORE_TIMEOUT_RESPONSES = 4;

  // Above any bound; an unknown age is Long.MAX_VALUE, which would overflow.
  private static final long MAX_AGE_MILLIS = 1L << 40;

  /** What is stored by one append, and what may be done afterwards. */
  private static final class Batch {
    private final List<JobSpec> submissions;
    private final Map<String, JobProgress> progress;

    /** Starts that may be sent once the batch is stored. */
    private final List<Action.Start> starts;

    /** Ends that may be acknowledged once this batch and all batches before are stored. */
    private final List<ReceivedEnds> ends;

    private boolean stored;

    Batch(List<JobSpec> submissions, Changes changes, List<Action.Start> starts) {
      this.submissions = submissions;
      this.starts = starts;
      progress = changes.jobs();
      ends = changes.ends();
    }

    boolean hasRecords() {
      return !submissions.isEmpty() || !progress.isEmpty();
    }

    List<Entry> entries() {
      List<Entry> entries = new ArrayList<>();
      submissions.forEach(s -> entries.add(LedgerCodec.job(s)));
      progress.forEach((id, p) -> entries.add(LedgerCodec.progress(id, p)));
      return entries;
    }
  }

  private final JobScheduler scheduler;
  private final OwnedJobs jobs;
  private final LaneWriter lanes;
  private final HeartbeatWriter heartbeats;
  private final ExecutorClient executors;
  private final AdviceDispatcher adviceDispatcher;
  private final Timers timers;
  private final JobLog log;
  private final long storeGraceMillis;
  private final LongSupplier zonesAgeMillis;
  private final LongSupplier announcementsAgeMillis;
  private final Runnable refreshAnnouncements;
  private final BooleanSupplier inboxCurrent;
  private final Runnable onEnd;
  private final Set<Action.Start> pendingStarts = new LinkedHashSet<>();

  /** Starts whose own batch is stored before that with the submission of their job. */
  private final Map<String, List<Action.Start>> startsBeforeSubmission = new HashMap<>();

  /** Starts whose records are stored and that wait for an acknowledgement, by executor. */
  private final Map<String, Set<Action.Start>> startsBeforeAcknowledgement = new HashMap<>();

  private final Deque<Batch> unconfirmed = new ArrayDeque<>();
  private boolean active = true;
  private boolean roundScheduled;
  private boolean writeScheduled;
  private long lastSweepAt;
  private Optional<Promise<Void>> flushed = Optional.empty();

  /**
   * @param zonesAgeMillis returns the time since the last read that confirmed the zones' states
   * @param announcementsAgeMillis returns the time since the last read that confirmed the
   *     announcements of the executors
   * @param refreshAnnouncements reads the announcements at once, if no such read is in flight
   * @param inboxCurrent whether the records of the inbox are read as soon as they are stored
   * @param onEnd called when the term has ended because of another owner or an internal error
   */
  OwnerController(
      JobScheduler scheduler,
      OwnedJobs jobs,
      LaneWriter lanes,
      HeartbeatWriter heartbeats,
      ExecutorClient executors,
      AdviceDispatcher adviceDispatcher,
      Timers timers,
      JobLog log,
      long storeGraceMillis,
      LongSupplier zonesAgeMillis,
      LongSupplier announcementsAgeMillis,
      Runnable refreshAnnouncements,
      BooleanSupplier inboxCurrent,
      Runnable onEnd) {
    this.scheduler = scheduler;
    this.jobs = jobs;
    this.lanes = lanes;
    this.heartbeats = heartbeats;
    this.executors = executors;
    this.adviceDispatcher = adviceDispatcher;
    this.timers = timers;
    this.log = log;
    this.storeGraceMillis = storeGraceMillis;
    this.zonesAgeMillis = zonesAgeMillis;
    this.announcementsAgeMillis = announcementsAgeMillis;
    this.refreshAnnouncements = refreshAnnouncements;
    this.inboxCurrent = inboxCurrent;
    this.onEnd = onEnd;
  }

  void start() {
    lastSweepAt = timers.nowMillis();
    writeLeases();
    tick();
  }

  JobScheduler scheduler() {
    return scheduler;
  }

  long term() {
    return scheduler.term();
  }

  /** Ends the decisions of the term; completes when the batches in flight are stored. */
  Future<Void> finish() {
    if (!active) {
      return Future.succeededFuture();
    }
    storeChanges();
    active = false;
    Promise<Void> promise = Promise.promise();
    flushed = Optional.of(promise);
    completeFlush();
    return promise.future().onComplete(done -> jobs.abandon());
  }

  /**
   * Submits a job; completes when the submission is stored or cannot be. Fails with a {@link
   * PeerException}, without effect, while the store does not answer. A job that is rejected because
   * of the load has not been stored and never will be by this request.
   */
  Future<VerdictReason> submit(JobSpec spec) {
    if (!jobs.contains(spec.id())) {
      if (isStoreUnavailable()) {
        return Future.failedFuture(new PeerException(false, "the store does not answer"));
      }
      if (admit(spec) instanceof Admission.Rejected rejection) {
        return Future.succeededFuture(VerdictReason.overloaded(rejection));
      }
      jobs.add(spec);
      JobEntry entry = JobEntry.submitted(spec);
      scheduler.submitted(entry, timers.wallMillis(), timers.nowMillis());
      scheduleRound();
    } else if (!jobs.isSameSubmission(spec)) {
      return Future.succeededFuture(
          new VerdictReason(VerdictKind.REFUSED, "another job has the id " + spec.id()));
    }
    return jobs.submission(spec.id())
        .map(VerdictReason.STORED)
        .otherwise(OwnerController::undecided);
  }

  /**
   * Decides whether a job that this owner does not know is accepted. A job is not rejected while
   * another host may have accepted it: a later owner, or one that has written to the inbox.
   */
  private Admission admit(JobSpec spec) {
    boolean unknownElsewhere =
        isConfirmed()
            && inboxCurrent.getAsBoolean()
            && !jobs.isCancelledBeforeSubmission(spec.id());
    return unknownElsewhere ? scheduler.admit(spec, timers.nowMillis()) : new Admission.Admitted();
  }

  /** Cancels a job; completes when a final state of the job is stored. */
  Future<VerdictReason> cancel(JobReference job) {
    if (!jobs.isVisible(job)) {
      return Future.succeededFuture(new VerdictReason(VerdictKind.UNKNOWN_JOB, ""));
    }
    scheduler.cancelled(job.id(), timers.nowMillis());
    scheduleRound();
    return jobs.end(job.id()).map(VerdictReason.STORED).otherwise(OwnerController::undecided);
  }

  private static VerdictReason undecided(Throwable problem) {
    return new VerdictReason(VerdictKind.UNDECIDED, String.valueOf(problem.getMessage()));
  }

  /**
   * Returns the stored state of a job; empty if this owner does not know it. Fails if another host
   * may own the executors by now.
   */
  Future<Optional<JobState>> state(JobReference job) {
    if (!isConfirmed()) {
      return Future.failedFuture(new PeerException(false, "ownership is not confirmed"));
    }
    if (!jobs.isVisible(job)) {
      return Future.succeededFuture(Optional.empty());
    }
    return jobs.submission(job.id()).map(done -> Optional.of(jobs.state(job.id())));
  }

  /** Returns the number of stored jobs of a queue that have not begun. */
  long countUnstarted(String queue) {
    return jobs.countUnstarted(queue);
  }

  /** Applies a record of the inbox. */
  void inboxRecord(Entry entry) {
    LedgerCodec.submission(entry).ifPresent(this::submittedToInbox);
    LedgerCodec.cancelledJob(entry).ifPresent(this::cancelledInInbox);
    LedgerCodec.deletedSubmission(entry).ifPresent(jobs::submissionDeletedFromInbox);
    LedgerCodec.deletedCancellation(entry).ifPresent(jobs::cancellationDeletedFromInbox);
  }

  private void submittedToInbox(JobSpec spec) {
    if (jobs.contains(spec.id())) {
      jobs.foundInInbox(spec.id());
      sendHeldStarts(spec.id());
      return;
    }
    jobs.addStored(spec);
    scheduler.submitted(JobEntry.submitted(spec), timers.wallMillis(), timers.nowMillis());
    if (jobs.wasCancelledBefore(spec.id())) {
      cancelledInInbox(spec.id());
    }
    scheduleRound();
  }

  private void cancelledInInbox(String id) {
    jobs.cancellationInInbox(id, timers.nowMillis());
    scheduler.cancelled(id, timers.nowMillis());
    scheduleRound();
  }

  private void tick() {
    if (!active) {
      return;
    }
    heartbeats.tick();
    guarded(this::runRound);
    timers.after(TICK_MILLIS, this::tick);
  }

  /** Runs a part of the owner's work on one executor, which an unexpected error excludes. */
  private void guarded(String executor, Runnable part) {
    scheduler.guardExecutor(executor, timers.nowMillis(), part);
  }

  /**
   * Runs a part of the owner's work that concerns more than one job or executor. Steps down after
   * an unexpected error, so that another host claims ownership.
   */
  private void guarded(Runnable part) {
    if (!active) {
      return;
    }
    try {
      part.run();
    } catch (RuntimeException e) {
      log.event(JobEvent.INTERNAL_ERROR, "term", term(), "trace", JobLog.trace(e));
      stepDown("internal error");
    }
  }

  /**
   * Requests a scheduling round as soon as possible; further calls before the round have no effect.
   */
  void scheduleRound() {
    if (!roundScheduled && active) {
      roundScheduled = true;
      timers.after(
          0,
          () -> {
            roundScheduled = false;
            guarded(this::runRound);
          });
    }
  }

  private void runRound() {
    if (!active) {
      return;
    }
    long now = timers.nowMillis();
    sendStartsAfterAcknowledgement(now);
    confirmRecords(now);
    scheduler.decide(adviceDispatcher, timers.wallMillis(), now).forEach(this::execute);
    storeChanges();
    if (heartbeats.silentExecutors().stream().anyMatch(e -> !scheduler.hasUnansweredRuns(e, now))) {
      writeLeases();
    }
    renewLeases(now);
    if (now - lastSweepAt >= SWEEP_INTERVAL_MILLIS) {
      lastSweepAt = now;
      Set<String> changed = scheduler.changedJobs();
      jobs.sweep(id -> scheduler.hasRuns(id) || changed.contains(id), now);
    }
  }

  /** Stores what a later owner has to know before leases are granted. */
  private void writeLeases() {
    heartbeats.writeLeases().onSuccess(done -> scheduleRound());
  }

  private void execute(Action action) {
    switch (action) {
      case Action.Start start -> pendingStarts.add(start);
      case Action.Stop stop -> guarded(stop.executor(), () -> sendStop(stop));
      case Action.Pace pace -> guarded(pace.executor(), () -> sendPace(pace));
      case Action.RequestAdvice request -> requestAdvice(request);
    }
  }

  private void sendStop(Action.Stop stop) {
    long token = scheduler.fencingToken(stop.executor());
    RunKey run = stop.run();
    executors
        .stop(stop.target(), run.task(), run.number(), token)
        .onSuccess(a -> guarded(() -> stopAnswered(stop, token, a)));
  }

  private void sendPace(Action.Pace pace) {
    long token = scheduler.fencingToken(pace.executor());
    RunKey run = pace.run();
    executors
        .pace(pace.target(), run.task(), run.number(), pace.percent(), token)
        .onSuccess(a -> guarded(() -> paceAnswered(pace, token, a)));
  }

  private void paceAnswered(Action.Pace pace, long token, CommandResult result) {
    checkFence(pace.executor(), token, result);
    scheduler.paceAnswered(pace.executor(), pace.run(), token, result);
  }

  private void requestAdvice(Action.RequestAdvice request) {
    long sentAt = timers.nowMillis();
    adviceDispatcher
        .requestAdvice(request)
        .onComplete(
            tickets -> guarded(() -> adviceAnswered(request, tickets, sentAt)),
            problem ->
                guarded(
                    () ->
                        scheduler.adviceFailed(
                            request.step(), String.valueOf(problem), timers.nowMillis())));
  }

  private void adviceAnswered(
      Action.RequestAdvice request, Map<String, String> tickets, long sentAt) {
    scheduler.adviceAnswered(
        request.step(), request.executors(), tickets, sentAt, timers.nowMillis());
    scheduleRound();
  }

  private void stopAnswered(Action.Stop stop, long token, CommandResult result) {
    checkFence(stop.executor(), token, result);
    scheduler.stopAnswered(stop.executor(), stop.run(), result, timers.nowMillis());
  }

  private void checkFence(String executor, long token, CommandResult result) {
    if (result instanceof CommandResult.Refused refused && refused.reason() == Refusal.FENCED) {
      fenced(executor, token);
    }
  }

  /** Ends the term if an executor has refused a call because of a later owner. */
  private void fenced(String executor, long token) {
    if (scheduler.isFencedByLaterOwner(executor, token)) {
      stepDown("an executor has seen the fencing token of a later owner");
    }
  }

  /** Ends the term because another host owns the executors, or because of an error. */
  void stepDown(String reason) {
    if (active) {
      active = false;
      log.event(JobEvent.STEPPED_DOWN, "term", term(), "reason", reason);
      jobs.abandon();
      onEnd.run();
    }
  }

  private void storeChanges() {
    for (OptionalInt lane = lanes.free(); lane.isPresent(); lane = lanes.free()) {
      Batch batch = takeBatch();
      unconfirmed.add(batch);
      if (!batch.hasRecords()) {
        batch.stored = true;
        batchStored(batch);
        return;
      }
      write(lane.getAsInt(), batch);
    }
    if (!writeScheduled && (jobs.hasUnsent() || scheduler.hasChanges())) {
      writeScheduled = true;
      timers.after(
          Math.max(1, lanes.waitMillis()),
          () -> {
            writeScheduled = false;
            guarded(this::storeChanges);
          });
    }
  }

  private Batch takeBatch() {
    List<JobSpec> submissions = jobs.takeUnsent(MAX_BATCH_RECORDS);
    Changes changes = scheduler.takeChanges(MAX_BATCH_RECORDS - submissions.size(), jobs::isSent);
    List<Action.Start> starts =
        pendingStarts.stream().filter(s -> !scheduler.hasChanges(s.run().task().job())).toList();
    starts.forEach(pendingStarts::remove);
    return new Batch(submissions, changes, starts);
  }

  private static String jobOf(Action.Start start) {
    return start.run().task().job();
  }

  private void write(int lane, Batch batch) {
    lanes
        .write(lane, batch.entries())
        .onComplete(
            done -> {
              batch.submissions.forEach(s -> submissionStored(s.id(), lane));
              batch.progress.forEach(
                  (id, p) -> jobs.progressStored(id, p, lane, timers.nowMillis()));
              batch.stored = true;
              guarded(() -> batchStored(batch));
              completeFlush();
            },
            problem -> {
              if (StoreException.kindOf(problem) == StoreException.Kind.SUPERSEDED) {
                stepDown("the store has seen the epoch of a later owner");
              }
              unconfirmed.remove(batch);
              completeFlush();
            });
  }

  private void submissionStored(String job, int lane) {
    jobs.submissionStored(job, lane);
    sendHeldStarts(job);
  }

  private void sendHeldStarts(String job) {
    List<Action.Start> held = startsBeforeSubmission.remove(job);
    if (held != null && active) {
      held.forEach(this::sendStart);
    }
  }

  /** Sends the starts that wait for an acknowledgement no more. */
  private void sendStartsAfterAcknowledgement(long now) {
    List<String> ready =
        startsBeforeAcknowledgement.keySet().stream()
            .filter(e -> !scheduler.startsWaitForAcknowledgement(e, now))
            .toList();
    ready.forEach(e -> startsBeforeAcknowledgement.remove(e).forEach(this::sendStart));
  }

  private void completeFlush() {
    if (unconfirmed.stream().allMatch(b -> b.stored)) {
      flushed.ifPresent(Promise::tryComplete);
    }
  }

  private void batchStored(Batch batch) {
    while (!unconfirmed.isEmpty() && unconfirmed.peek().stored) {
      scheduler.endsStored(unconfirmed.remove().ends, timers.nowMillis());
    }
    for (Action.Start start : batch.starts) {
      if (jobs.isStored(jobOf(start))) {
        sendStart(start);
      } else {
        startsBeforeSubmission.computeIfAbsent(jobOf(start), j -> new ArrayList<>()).add(start);
      }
    }
    if (batch.hasRecords()) {
      scheduleRound();
    }
  }

  private boolean isStoreUnavailable() {
    long timeoutMillis =
        Math.max(MIN_STORE_TIMEOUT_MILLIS, STORE_TIMEOUT_RESPONSES * lanes.averageMillis());
    return timers.nowMillis() - lastStoredSentAt() > timeoutMillis;
  }

  /** Returns whether no other host can have begun a term for longer than a moment. */
  private boolean isConfirmed() {
    long confirmationMillis =
        Math.max(MIN_OWNERSHIP_CONFIRMATION_MILLIS, CONFIRMATION_RESPONSES * lanes.averageMillis());
    return timers.nowMillis() - lastStoredSentAt() <= confirmationMillis;
  }

  /** Returns when the last record was sent that is known to be stored. */
  long lastStoredSentAt() {
    return Math.max(lanes.lastStoredSentAt(), heartbeats.lastStoredSentAt());
  }

  private void sendStart(Action.Start start) {
    long now = timers.nowMillis();
    confirmRecords(now);
    boolean unrecorded =
        !mayGrantLease(start.executor(), now)
            && scheduler.startMayGrantLease(start.executor(), start.run(), now);
    if (!isConfirmed() || !mayGrantLeases() || unrecorded) {
      // Another owner may have taken over. The start is postponed until an append succeeds;
      // until then, the run stays in doubt.
      pendingStarts.add(start);
      return;
    }
    if (scheduler.startsWaitForAcknowledgement(start.executor(), now)) {
      startsBeforeAcknowledgement
          .computeIfAbsent(start.executor(), e -> new LinkedHashSet<>())
          .add(start);
      return;
    }
    if (!scheduler.mayStart(now)) {
      // The read that is in flight may have got no answer and is overdue only after seconds.
      pendingStarts.add(start);
      refreshAnnouncements.run();
      return;
    }
    guarded(
        start.executor(),
        () ->
            scheduler
                .startRequest(start.executor(), start.run(), now)
                .ifPresent(
                    request ->
                        executors
                            .start(scheduler.target(start.executor()), request)
                            .onSuccess(
                                result -> guarded(() -> startAnswered(start, request, result)))));
  }

  private void confirmRecords(long now) {
    scheduler.zonesConfirmed(now - Math.min(zonesAgeMillis.getAsLong(), MAX_AGE_MILLIS));
    scheduler.announcementsConfirmed(
        now - Math.min(announcementsAgeMillis.getAsLong(), MAX_AGE_MILLIS));
  }

  /**
   * Returns whether executors may get leases. A later owner counts from the newest record in the
   * ownership partition, so records in the lanes do not prolong this.
   */
  private boolean mayGrantLeases() {
    return heartbeats.millisSinceOwned() < storeGraceMillis;
  }

  /**
   * Returns whether a later owner will expect the lease that an executor may hold. If not, that is
   * recorded at once, and the executor may get a lease afterwards.
   */
  private boolean mayGrantLease(String executor, long now) {
    boolean covered = heartbeats.coversLease(executor, scheduler.longLeaseMillis(executor, now));
    if (!covered) {
      writeLeases();
    }
    return covered && heartbeats.allowsLease(executor);
  }

  private void startAnswered(Action.Start start, StartRequest request, CommandResult result) {
    if (result instanceof CommandResult.Unknown) {
      scheduler.callUnanswered(start.executor(), request.fencingToken());
    }
    checkFence(start.executor(), request.fencingToken(), result);
    scheduler.startAnswered(start.executor(), start.run(), result, timers.nowMillis());
    if (!(result instanceof CommandResult.Done)) {
      scheduleRound();
    }
  }

  private void renewLeases(long now) {
    scheduler.executorsToRenew(now).forEach(id -> guarded(id, () -> sendLeaseRenewal(id, now)));
  }

  private void sendLeaseRenewal(String id, long now) {
    LeaseRenewalRequest request =
        mayGrantLeases() && !mayGrantLease(id, now)
            ? scheduler.reportRequest(id, now)
            : scheduler.leaseRenewalRequest(id, mayGrantLeases(), now);
    executors
        .renewLeases(scheduler.target(id), request)
        .onSuccess(result -> guarded(() -> leaseRenewalAnswered(id, request, now, result)));
  }

  private void leaseRenewalAnswered(
      String id, LeaseRenewalRequest request, long sentAt, LeaseRenewalResult result) {
    long now = timers.nowMillis();
    if (result instanceof LeaseRenewalResult.Refused refused
        && refused.reason() == Refusal.FENCED) {
      fenced(id, request.fencingToken());
      if (!active) {
        return;
      }
    }
    scheduler.leaseRenewalAnswered(id, request, sentAt, result, now);
    scheduleRound();
  }
}
