package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.PeerException;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Handles requests of callers: submits, shows, counts and cancels jobs. Every entry host runs this
 * service.
 *
 * <p>Requests go to the owner of the executors. If this host cannot reach it, submissions and
 * cancellations go to the inbox in the store, and states are read from the store.
 *
 * @since 0.2
 */
public final class JobService {
  private static final long RETRY_MILLIS = 100;

  /**
   * Number of refused appends after which the request is refused, so that the caller tries another
   * host.
   */
  private static final int MAX_REFUSALS = 2;

  /** Part of the caller's time budget that is reserved for sending the response. */
  private static final long RESPONSE_MARGIN_MILLIS = 150;

  /** How long the owner may take to answer what needs no write to the store. */
  private static final long OWNER_READ_TIMEOUT_MILLIS = 300;

  /** A count may be this old if a newer one cannot be had. */
  private static final long MAX_COUNT_AGE_MILLIS = 2_000;

  private static final int RETRY_AFTER_SECONDS = 1;

  /** A longer time to wait tells a caller no more than that it has to wait. */
  private static final int MAX_RETRY_AFTER_SECONDS = 30;

  private record Count(long jobs, long at) {}

  private final Supplier<Optional<OwnerRequests>> owner;
  private final InboxWriter inbox;
  private final LedgerReader reader;
  private final TopicFollower configurationFollower;
  private final StoreWatchdog watchdog;
  private final Supplier<SiteConfiguration> configuration;
  private final HostSettings settings;
  private final Timers timers;
  private final JobLog log;
  private final EventLoopLag lag;
  private final OpenSubmissions openSubmissions = new OpenSubmissions();
  private final ResponseTimes ownerWrites = new ResponseTimes();
  private final FinalStates finalStates = new FinalStates();
  private final Map<String, Count> counts = new HashMap<>();

  /**
   * @param owner returns the owner of the executors; empty while this host cannot reach it
   */
  JobService(
      Supplier<Optional<OwnerRequests>> owner,
      InboxWriter inbox,
      LedgerReader reader,
      TopicFollower configurationFollower,
      StoreWatchdog watchdog,
      Supplier<SiteConfiguration> configuration,
      HostSettings settings,
      Timers timers,
      JobLog log,
      EventLoopLag lag) {
    this.owner = owner;
    this.inbox = inbox;
    this.reader = reader;
    this.configurationFollower = configurationFollower;
    this.watchdog = watchdog;
    this.configuration = configuration;
    this.settings = settings;
    this.timers = timers;
    this.log = log;
    this.lag = lag;
  }

  /** Finds the queue that a caller addresses, and validates the key. */
  public Resolution resolve(String callerHost, String path, Optional<String> key) {
    SiteConfiguration current = configuration.get();
    if (current.version() == 0) {
      return new Resolution.Undetermined("no configuration has been loaded yet");
    }
    Resolution.Basis basis =
        new Resolution.Basis(current.version(), configurationFollower.ageMillis());
    Freshness freshness = freshness(basis.ageMillis());
    if (freshness == Freshness.OUTDATED) {
      return undetermined(basis);
    }
    Optional<Queue> queue = current.route(callerHost, path);
    if (queue.isEmpty()) {
      return refusal(freshness, basis, new Resolution.NoQueue(basis));
    }
    String remainingPath = path.substring(queue.get().pathPrefix().length());
    Optional<Organisation> team = key.flatMap(current::organisationOfKey);
    if (!queue.get().open()) {
      if (basis.ageMillis() > settings.configurationBounds().maxKeyAgeMillis()) {
        return undetermined(basis);
      }
      if (team.isEmpty()) {
        return refusal(freshness, basis, new Resolution.UnknownKey(basis));
      }
    }
    Resolution.Granted granted =
        new Resolution.Granted(
            queue.get(), team.map(Organisation::name).orElse(""), remainingPath, basis);
    if (freshness == Freshness.ISOLATED) {
      logUnconfirmed(granted);
    }
    return granted;
  }

  private Freshness freshness(long ageMillis) {
    if (ageMillis <= settings.configurationBounds().maxAgeMillis()) {
      return Freshness.CURRENT;
    }
    return watchdog.isStoreUnreachable() ? Freshness.ISOLATED : Freshness.OUTDATED;
  }

  private static Resolution refusal(
      Freshness freshness, Resolution.Basis basis, Resolution refused) {
    return freshness == Freshness.CURRENT ? refused : undetermined(basis);
  }

  private static Resolution undetermined(Resolution.Basis basis) {
    return new Resolution.Undetermined("the configuration is too old to decide by: " + basis);
  }

  private void logUnconfirmed(Resolution.Granted granted) {
    log.event(
        JobEvent.GRANTED_UNCONFIRMED,
        "queue",
        granted.queue().name(),
        "organisation",
        granted.organisation(),
        "configuration",
        granted.basis().version(),
        "configurationAgeMillis",
        granted.basis().ageMillis());
  }

  /**
   * Submits a job; accepted once it is stored.
   *
   * @param budgetMillis how long the caller waits for the response
   */
  public Future<Outcome> submit(JobSpec spec, long budgetMillis) {
    int bytes = LedgerCodec.job(spec).bytes();
    if (bytes > settings.store().recordBytes()) {
      // An owner that took the job would repeat the append for ever.
      String reason =
          "the job takes " + bytes + " bytes; expected at most " + settings.store().recordBytes();
      return logAndReturn(JobEvent.SUBMISSION, spec.id(), new Outcome.TooLarge(reason));
    }
    long deadline = deadline(budgetMillis);
    openSubmissions.begin(spec.id());
    // An exception of the first step fails the future as well, so that the submission ends.
    return Future.succeededFuture()
        .compose(begun -> route(spec, deadline))
        .onComplete(done -> openSubmissions.end(spec.id()))
        .compose(o -> logAndReturn(JobEvent.SUBMISSION, spec.id(), o));
  }

  private Future<Outcome> route(JobSpec spec, long deadline) {
    return owner
        .get()
        .map(
            o ->
                lag.isLagging()
                    ? submitWhileLagging(o, spec, deadline)
                    : submitTo(o, spec, deadline))
        .orElseGet(() -> submitToInbox(spec, deadline, false));
  }

  /** Refuses a submission without storing it, unless the owner knows the job. */
  private Future<Outcome> submitWhileLagging(OwnerRequests reached, JobSpec spec, long deadline) {
    JobReference job = JobReference.of(spec.id(), spec.queue(), spec.organisation());
    return reached
        .state(job, OWNER_READ_TIMEOUT_MILLIS)
        .compose(
            // Another host may have stored the job in the inbox just before.
            known -> known.isPresent() ? Future.succeededFuture(known) : storedState(job))
        .compose(
            state ->
                state.isPresent()
                    ? submitTo(reached, spec, deadline)
                    : Future.succeededFuture(
                        refusedUnlessInDoubt(
                            spec.id(),
                            "the event loop lags by " + lag.averageMillis() + " ms",
                            RETRY_AFTER_SECONDS)),
            problem -> submitTo(reached, spec, deadline));
  }

  private Future<Outcome> submitTo(OwnerRequests reached, JobSpec spec, long deadline) {
    return timed(reached.submit(spec, ownerWriteTimeoutMillis(deadline)))
        .compose(
            verdict ->
                switch (verdict.kind()) {
                  case STORED -> Future.succeededFuture(new Outcome.Accepted());
                  case REFUSED -> Future.succeededFuture(refused(spec.id(), verdict));
                  case UNDECIDED, UNKNOWN_JOB -> submitToInbox(spec, deadline, true);
                },
            problem -> submitToInbox(spec, deadline, maybeExecuted(problem)));
  }

  private Outcome refused(String job, VerdictReason verdict) {
    if (verdict.retryAfterMillis().isEmpty()) {
      return new Outcome.Conflict(verdict.reason());
    }
    long seconds = Math.ceilDiv(verdict.retryAfterMillis().getAsLong(), 1_000L);
    return refusedUnlessInDoubt(
        job, verdict.reason(), Math.clamp(seconds, RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS));
  }

  /** Returns that a submission is not stored, or that it is undecided if an earlier one may be. */
  private Outcome refusedUnlessInDoubt(String job, String reason, int retryAfterSeconds) {
    return openSubmissions.mayBeStored(job, timers.nowMillis())
        ? new Outcome.Undecided("an earlier request may have stored the job; " + reason)
        : new Outcome.Refused(reason, retryAfterSeconds);
  }

  private Future<Outcome> submitToInbox(JobSpec spec, long deadline, boolean maybeStored) {
    return toInbox(spec.id(), LedgerCodec.job(spec), deadline, maybeStored)
        .map(
            outcome ->
                outcome instanceof Outcome.Refused r
                    ? refusedUnlessInDoubt(spec.id(), r.reason(), r.retryAfterSeconds())
                    : outcome)
        .onSuccess(
            outcome -> {
              if (!(outcome instanceof Outcome.Refused)) {
                openSubmissions.putInDoubt(spec.id(), timers.nowMillis());
              }
            });
  }

  private long deadline(long budgetMillis) {
    return timers.nowMillis() + budgetMillis - RESPONSE_MARGIN_MILLIS;
  }

  private long ownerWriteTimeoutMillis(long deadline) {
    long left = deadline - timers.nowMillis();
    return Math.max(1, Math.min(ownerWrites.overdueMillis(), left));
  }

  private Future<VerdictReason> timed(Future<VerdictReason> answer) {
    long sentAt = timers.nowMillis();
    return answer.onSuccess(v -> ownerWrites.add(timers.nowMillis() - sentAt));
  }

  private static boolean maybeExecuted(Throwable problem) {
    return !(problem instanceof PeerException e) || e.maybeExecuted();
  }

  /**
   * Cancels a job; accepted once the cancellation is stored.
   *
   * @param budgetMillis how long the caller waits for the response
   */
  public Future<Outcome> cancel(Queue queue, String organisation, String id, long budgetMillis) {
    JobReference job = JobReference.of(id, queue, organisation);
    long deadline = deadline(budgetMillis);
    return owner
        .get()
        .map(o -> cancelAt(o, job, deadline))
        .orElseGet(() -> cancelInInbox(job, deadline, false))
        .compose(outcome -> logAndReturn(JobEvent.CANCELLATION, id, outcome));
  }

  private Future<Outcome> cancelAt(OwnerRequests reached, JobReference job, long deadline) {
    return timed(reached.cancel(job, ownerWriteTimeoutMillis(deadline)))
        .compose(
            verdict ->
                switch (verdict.kind()) {
                  case STORED -> Future.succeededFuture(new Outcome.Accepted());
                  case REFUSED, UNKNOWN_JOB -> cancelInInbox(job, deadline, false);
                  case UNDECIDED -> cancelInInbox(job, deadline, true);
                },
            problem -> cancelInInbox(job, deadline, maybeExecuted(problem)));
  }

  private Future<Outcome> cancelInInbox(JobReference job, long deadline, boolean maybeStored) {
    if (configurationFollower.isOverdue()) {
      return storeUnreachable(maybeStored);
    }
    return reader
        .job(job.id())
        .compose(
            found ->
                found.filter(j -> j.isVisibleTo(job)).isEmpty()
                    ? Future.succeededFuture(new Outcome.NoSuchJob())
                    : toInbox(job.id(), LedgerCodec.cancel(job.id()), deadline, maybeStored),
            problem ->
                Future.succeededFuture(
                    maybeStored
                        ? new Outcome.Undecided("the ledger cannot be read: " + problem)
                        : refused("the ledger cannot be read: " + problem)));
  }

  private Future<Outcome> logAndReturn(JobEvent event, String id, Outcome outcome) {
    log.event(
        event,
        "job",
        id,
        "outcome",
        outcome,
        "configuration",
        configuration.get().version(),
        "configurationAgeMillis",
        configurationFollower.ageMillis());
    return Future.succeededFuture(outcome);
  }

  private static Outcome refused(String reason) {
    return new Outcome.Refused(reason, RETRY_AFTER_SECONDS);
  }

  /**
   * Returns a job's state; empty if there is no such job. Fails if this host cannot determine the
   * state.
   */
  public Future<Optional<JobState>> state(Queue queue, String organisation, String id) {
    JobReference job = JobReference.of(id, queue, organisation);
    Optional<JobState> known = finalStates.find(job);
    if (known.isPresent()) {
      return Future.succeededFuture(known);
    }
    return owner
        .get()
        .map(
            o ->
                o.state(job, OWNER_READ_TIMEOUT_MILLIS)
                    .compose(
                        state ->
                            state.isPresent()
                                ? Future.succeededFuture(state)
                                // Another host may have stored the job in the inbox just before.
                                : storedState(job),
                        problem -> storedState(job)))
        .orElseGet(() -> storedState(job))
        .onSuccess(state -> state.ifPresent(s -> finalStates.add(job, s)));
  }

  private Future<Optional<JobState>> storedState(JobReference job) {
    if (configurationFollower.isOverdue()) {
      return Future.failedFuture(
          new StoreException(StoreException.Kind.REFUSED, "the store does not answer"));
    }
    return reader
        .job(job.id())
        .map(found -> found.filter(j -> j.isVisibleTo(job)).map(JobEntry::state));
  }

  /**
   * Returns how many accepted jobs of a queue wait for their first task to start. Fails if this
   * host cannot determine the number.
   */
  public Future<Long> waiting(Queue queue) {
    return owner
        .get()
        .map(
            o ->
                o.countUnstarted(queue.name(), OWNER_READ_TIMEOUT_MILLIS)
                    .recover(problem -> storedCount(queue.name())))
        .orElseGet(() -> storedCount(queue.name()))
        .onSuccess(n -> counts.put(queue.name(), new Count(n, timers.nowMillis())));
  }

  private Future<Long> storedCount(String queue) {
    Count last = counts.get(queue);
    if (last != null && timers.nowMillis() - last.at <= MAX_COUNT_AGE_MILLIS) {
      return Future.succeededFuture(last.jobs);
    }
    return reader.read().map(snapshot -> snapshot.countUnstarted(queue));
  }

  private static Future<Outcome> storeUnreachable(boolean maybeStored) {
    return Future.succeededFuture(
        maybeStored
            ? new Outcome.Undecided("the owner did not answer, and the store does not answer")
            : refused("the store does not answer"));
  }

  private Future<Outcome> toInbox(String job, Entry entry, long deadline, boolean maybeStored) {
    if (configurationFollower.isOverdue()) {
      return storeUnreachable(maybeStored);
    }
    Promise<Outcome> promise = Promise.promise();
    append(job, entry, deadline, 0, maybeStored, promise);
    return promise.future();
  }

  private void append(
      String job,
      Entry entry,
      long deadline,
      int refusals,
      boolean earlierMaybeStored,
      Promise<Outcome> promise) {
    inbox
        .append(job, entry)
        .onComplete(
            stored -> promise.complete(new Outcome.Accepted()),
            problem -> {
              boolean refused = StoreException.kindOf(problem) == StoreException.Kind.REFUSED;
              boolean maybeStored = earlierMaybeStored || !refused;
              int count = refusals + (refused ? 1 : 0);
              // While the store is unreachable, further retries would not change the outcome.
              boolean stopRetrying =
                  configurationFollower.isOverdue()
                      || timers.nowMillis() + RETRY_MILLIS >= deadline;
              if (!maybeStored && (stopRetrying || count >= MAX_REFUSALS)) {
                promise.complete(refused("the store refused the append: " + problem));
              } else if (stopRetrying) {
                promise.complete(
                    new Outcome.Undecided(
                        "the append may or may not have been stored: " + problem));
              } else {
                timers.after(
                    RETRY_MILLIS, () -> append(job, entry, deadline, count, maybeStored, promise));
              }
            });
  }
}
