package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobLedger;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Handles requests of callers: submits, shows, counts and cancels jobs. Every entry host runs this
 * service.
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

  private static final int RETRY_AFTER_SECONDS = 1;

  private final JobLedger ledger;
  private final TopicFollower ledgerFollower;
  private final TopicFollower configurationFollower;
  private final Supplier<SiteConfiguration> configuration;
  private final BatchingWriter writer;
  private final HostSettings settings;
  private final Timers timers;
  private final JobLog log;

  JobService(
      JobLedger ledger,
      TopicFollower ledgerFollower,
      TopicFollower configurationFollower,
      Supplier<SiteConfiguration> configuration,
      KeyedTopic topic,
      HostSettings settings,
      Timers timers,
      JobLog log) {
    this.ledger = ledger;
    this.ledgerFollower = ledgerFollower;
    this.configurationFollower = configurationFollower;
    this.configuration = configuration;
    writer = new BatchingWriter(topic, timers);
    this.settings = settings;
    this.timers = timers;
    this.log = log;
  }

  /** Finds the queue that a caller addresses, and validates the key. */
  public Resolution resolve(String callerHost, String path, Optional<String> key) {
    SiteConfiguration current = configuration.get();
    long age = configurationFollower.ageMillis();
    if (current.version() == 0) {
      return new Resolution.Undetermined("no configuration has been loaded yet");
    }
    boolean stale = age > settings.staleMillis();
    Optional<Queue> queue = current.route(callerHost, path);
    if (queue.isEmpty()) {
      return stale ? undetermined(age) : new Resolution.NoQueue();
    }
    String remainingPath = path.substring(queue.get().pathPrefix().length());
    Optional<Organisation> team = key.flatMap(current::organisationOfKey);
    if (queue.get().open()) {
      String organisation = team.map(Organisation::name).orElse("");
      return new Resolution.Granted(queue.get(), organisation, remainingPath);
    }
    if (age > settings.maxKeyConfigurationAgeMillis()) {
      return undetermined(age);
    }
    if (team.isEmpty()) {
      return stale ? undetermined(age) : new Resolution.UnknownKey();
    }
    return new Resolution.Granted(queue.get(), team.get().name(), remainingPath);
  }

  private static Resolution undetermined(long age) {
    return new Resolution.Undetermined("the configuration was last confirmed " + age + " ms ago");
  }

  /**
   * Submits a job; accepted once it is stored.
   *
   * @param budgetMillis how long the caller waits for the response
   */
  public Future<Outcome> submit(JobSpec spec, long budgetMillis) {
    if (ledger.job(spec.id()).isPresent()) {
      return logAndReturn(JobEvent.SUBMISSION, spec.id(), new Outcome.Accepted());
    }
    return store(LedgerCodec.job(spec), budgetMillis)
        .compose(outcome -> logAndReturn(JobEvent.SUBMISSION, spec.id(), outcome));
  }

  /**
   * Cancels a job; accepted once the cancellation is stored.
   *
   * @param budgetMillis how long the caller waits for the response
   */
  public Future<Outcome> cancel(Queue queue, String organisation, String id, long budgetMillis) {
    return find(queue, organisation, id)
        .compose(
            found ->
                found.isEmpty()
                    ? Future.succeededFuture(new Outcome.NoSuchJob())
                    : store(LedgerCodec.cancel(id), budgetMillis))
        .recover(problem -> refused(String.valueOf(problem)))
        .compose(outcome -> logAndReturn(JobEvent.CANCELLATION, id, outcome));
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
        configurationFollower.ageMillis(),
        "ledgerAgeMillis",
        ledgerFollower.ageMillis());
    return Future.succeededFuture(outcome);
  }

  private static Future<Outcome> refused(String reason) {
    return Future.succeededFuture(new Outcome.Refused(reason, RETRY_AFTER_SECONDS));
  }

  /**
   * Returns a job's state; empty if there is no such job. Fails if this host cannot determine the
   * state.
   */
  public Future<Optional<JobState>> state(Queue queue, String organisation, String id) {
    return find(queue, organisation, id).map(found -> found.map(JobEntry::state));
  }

  private Future<Optional<JobEntry>> find(Queue queue, String organisation, String id) {
    Optional<JobEntry> known = visible(queue, organisation, id);
    if (known.isEmpty()) {
      // Another host may have accepted the job just before.
      return ledgerFollower.refresh().map(done -> visible(queue, organisation, id));
    }
    if (known.get().state().isFinal() || ledgerFollower.isWatching()) {
      return Future.succeededFuture(known);
    }
    return ledgerFollower.refresh().otherwiseEmpty().map(done -> visible(queue, organisation, id));
  }

  private Optional<JobEntry> visible(Queue queue, String organisation, String id) {
    return ledger
        .job(id)
        .filter(
            job -> {
              JobSpec spec = job.spec().orElseThrow();
              return spec.queue().name().equals(queue.name())
                  && (queue.open() || spec.organisation().equals(organisation));
            });
  }

  /**
   * Returns how many accepted jobs of a queue wait for their first task to start; empty if the data
   * of this host is too old.
   */
  public Optional<Long> waiting(Queue queue) {
    boolean known = ledgerFollower.ageMillis() <= settings.staleMillis();
    return known ? Optional.of(ledger.countUnstarted(queue.name())) : Optional.empty();
  }

  private Future<Outcome> store(Entry entry, long budgetMillis) {
    if (ledgerFollower.isOverdue()) {
      return refused("the last read of the ledger is overdue");
    }
    Promise<Outcome> promise = Promise.promise();
    long deadline = timers.nowMillis() + budgetMillis - RESPONSE_MARGIN_MILLIS;
    store(entry, deadline, 0, false, promise);
    return promise.future();
  }

  private void store(
      Entry entry,
      long deadline,
      int refusals,
      boolean earlierMaybeStored,
      Promise<Outcome> promise) {
    writer
        .append(entry)
        .onComplete(
            stored -> promise.complete(new Outcome.Accepted()),
            problem -> {
              boolean refused = StoreException.kindOf(problem) == StoreException.Kind.REFUSED;
              boolean maybeStored = earlierMaybeStored || !refused;
              int count = refusals + (refused ? 1 : 0);
              // While the store is unreachable, further retries would not change the outcome.
              boolean stopRetrying =
                  ledgerFollower.isOverdue() || timers.nowMillis() + RETRY_MILLIS >= deadline;
              if (!maybeStored && (stopRetrying || count >= MAX_REFUSALS)) {
                promise.complete(
                    new Outcome.Refused(
                        "the store refused the append: " + problem, RETRY_AFTER_SECONDS));
              } else if (stopRetrying) {
                promise.complete(
                    new Outcome.Undecided(
                        "the append may or may not have been stored: " + problem));
              } else {
                timers.after(
                    RETRY_MILLIS, () -> store(entry, deadline, count, maybeStored, promise));
              }
            });
  }
}
