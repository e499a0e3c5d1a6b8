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
 * Answers callers: submits, shows, counts and cancels jobs. Runs alike on every entry host.
 *
 * @since 0.2
 */
public final class JobService {
  private static final long RETRY_MILLIS = 100;

  /** Refused appends after which the caller is sent to another host. */
  private static final int MOST_REFUSALS = 2;

  /** What is left of the caller's time for the answer to travel. */
  private static final long ANSWER_MILLIS = 150;

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

  /** Finds the queue that a caller addresses, and checks the key. */
  public Resolution resolve(String callerHost, String path, Optional<String> key) {
    SiteConfiguration current = configuration.get();
    long age = configurationFollower.ageMillis();
    if (current.version() == 0) {
      return new Resolution.Unsure("no configuration yet");
    }
    boolean stale = age > settings.staleMillis();
    Optional<Queue> queue = current.route(callerHost, path);
    if (queue.isEmpty()) {
      return stale ? unsure(age) : new Resolution.NoQueue();
    }
    String rest = path.substring(queue.get().pathPrefix().length());
    Optional<Organisation> team = key.flatMap(current::organisationOfKey);
    if (queue.get().open()) {
      String organisation = team.map(Organisation::name).orElse("");
      return new Resolution.Granted(queue.get(), organisation, rest);
    }
    if (age > settings.keyBlindMillis()) {
      return unsure(age);
    }
    if (team.isEmpty()) {
      return stale ? unsure(age) : new Resolution.UnknownKey();
    }
    return new Resolution.Granted(queue.get(), team.get().name(), rest);
  }

  private static Resolution unsure(long age) {
    return new Resolution.Unsure("the configuration was last confirmed " + age + " ms ago");
  }

  /**
   * Accepts a job once it is stored.
   *
   * @param budgetMillis how long the caller waits
   */
  public Future<Outcome> submit(JobSpec spec, long budgetMillis) {
    if (ledger.job(spec.id()).isPresent()) {
      return answer(JobEvent.SUBMISSION, spec.id(), new Outcome.Accepted());
    }
    return store(LedgerCodec.job(spec), budgetMillis)
        .compose(outcome -> answer(JobEvent.SUBMISSION, spec.id(), outcome));
  }

  /** Cancels a job once that is stored. */
  public Future<Outcome> cancel(Queue queue, String organisation, String id, long budgetMillis) {
    return find(queue, organisation, id)
        .compose(
            found ->
                found.isEmpty()
                    ? Future.succeededFuture(new Outcome.NoSuchJob())
                    : store(LedgerCodec.cancel(id), budgetMillis))
        .recover(problem -> refused(String.valueOf(problem)))
        .compose(outcome -> answer(JobEvent.CANCELLATION, id, outcome));
  }

  private Future<Outcome> answer(JobEvent event, String id, Outcome outcome) {
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

  /** Returns a job's state; empty if there is none. Fails if this host cannot tell. */
  public Future<Optional<JobState>> state(Queue queue, String organisation, String id) {
    return find(queue, organisation, id).map(found -> found.map(JobEntry::state));
  }

  private Future<Optional<JobEntry>> find(Queue queue, String organisation, String id) {
    Optional<JobEntry> known = visible(queue, organisation, id);
    if (known.isEmpty()) {
      // Another host may have accepted it a moment ago.
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

  /** Returns how many accepted jobs of a queue wait for their first task, if that is known. */
  public Optional<Long> waiting(Queue queue) {
    boolean known = ledgerFollower.ageMillis() <= settings.staleMillis();
    return known ? Optional.of(ledger.countUnstarted(queue.name())) : Optional.empty();
  }

  private Future<Outcome> store(Entry entry, long budgetMillis) {
    if (ledgerFollower.isOverdue()) {
      return refused("the store has not answered for a while");
    }
    Promise<Outcome> promise = Promise.promise();
    long giveUpAt = timers.nowMillis() + budgetMillis - ANSWER_MILLIS;
    store(entry, giveUpAt, 0, false, promise);
    return promise.future();
  }

  private void store(
      Entry entry, long giveUpAt, int refusals, boolean inDoubt, Promise<Outcome> promise) {
    writer
        .append(entry)
        .onComplete(
            stored -> promise.complete(new Outcome.Accepted()),
            problem -> {
              boolean refused = StoreException.kindOf(problem) == StoreException.Kind.REFUSED;
              boolean doubt = inDoubt || !refused;
              int count = refusals + (refused ? 1 : 0);
              // Without the store, waiting longer would not change the answer.
              boolean late =
                  ledgerFollower.isOverdue() || timers.nowMillis() + RETRY_MILLIS >= giveUpAt;
              if (!doubt && (late || count >= MOST_REFUSALS)) {
                promise.complete(
                    new Outcome.Refused("the store refuses: " + problem, RETRY_AFTER_SECONDS));
              } else if (late) {
                promise.complete(new Outcome.Undecided("the store did not answer: " + problem));
              } else {
                timers.after(RETRY_MILLIS, () -> store(entry, giveUpAt, count, doubt, promise));
              }
            });
  }
}
