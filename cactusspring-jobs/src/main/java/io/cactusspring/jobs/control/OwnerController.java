package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.port.ExecutorClient;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.KeyedTopic.FencedWriter;
import io.cactusspring.jobs.port.StoreException;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.Action;
import io.cactusspring.jobs.schedule.JobScheduler;
import io.cactusspring.jobs.schedule.JobScheduler.Changes;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Executes one term as owner of the executors.
 *
 * <p>Decisions are stored in batches, one append at a time, with the term as the writer's epoch. A
 * start is sent, and the end of a run acknowledged, only after the batch that contains it is
 * stored.
 */
final class OwnerController {
  private static final long TICK_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 200;
  private static final long FAILED_RENEWAL_PAUSE_MILLIS = 250;
  private static final int MAX_BATCH_RECORDS = 200;
  // Shorter than the time without heartbeats after which another host claims ownership.
  private static final long MIN_OWNERSHIP_CONFIRMATION_MILLIS = 600;
  // Other hosts add three response times of the store to that time before they claim.
  private static final int CONFIRMATION_RESPONSES = 2;

  private final JobScheduler scheduler;
  private final OwnerRecord record;
  private final KeyedTopic topic;
  private final ExecutorClient executors;
  private final AdviceDispatcher adviceDispatcher;
  private final Timers timers;
  private final JobLog log;
  private final long storeGraceMillis;
  private final Runnable onSuperseded;
  private final ResponseTimes responseTimes = new ResponseTimes();
  private final Set<String> leaseRenewalsInFlight = new HashSet<>();
  private final Map<String, Long> leaseRenewalNotBefore = new HashMap<>();
  private final Set<Action.Start> pendingStarts = new LinkedHashSet<>();
  private long sequence;
  private boolean appending;
  private boolean active = true;
  private boolean roundScheduled;
  private long lastStoredAppendSentAt;
  private Runnable onReleased = () -> {};

  OwnerController(
      JobScheduler scheduler,
      OwnerRecord record,
      long sequence,
      KeyedTopic topic,
      ExecutorClient executors,
      AdviceDispatcher adviceDispatcher,
      Timers timers,
      JobLog log,
      long storeGraceMillis,
      Runnable onSuperseded) {
    this.scheduler = scheduler;
    this.record = record;
    this.sequence = sequence;
    this.topic = topic;
    this.executors = executors;
    this.adviceDispatcher = adviceDispatcher;
    this.timers = timers;
    this.log = log;
    this.storeGraceMillis = storeGraceMillis;
    this.onSuperseded = onSuperseded;
    lastStoredAppendSentAt = timers.nowMillis();
  }

  void start() {
    tick();
  }

  JobScheduler scheduler() {
    return scheduler;
  }

  long term() {
    return record.term();
  }

  /**
   * Ends the term at once. Executors refuse requests that are still in flight as soon as they have
   * seen the fencing token of a later owner.
   */
  void stop() {
    active = false;
  }

  /**
   * Ends the term and records the release in the ledger, so that another host can claim ownership
   * without waiting for a timeout.
   */
  Future<Void> release() {
    if (!active) {
      return Future.succeededFuture();
    }
    active = false;
    if (!appending) {
      return appendRelease();
    }
    Promise<Void> released = Promise.promise();
    onReleased = () -> appendRelease().onComplete(released);
    return released.future();
  }

  private Future<Void> appendRelease() {
    OwnerRecord last = new OwnerRecord(record.term(), record.host(), record.incarnation(), true);
    List<Entry> entries = new ArrayList<>();
    scheduler.takeChanges().jobs().forEach((id, p) -> entries.add(LedgerCodec.progress(id, p)));
    entries.add(LedgerCodec.owner(last));
    return topic
        .append(entries, Optional.of(new FencedWriter(record.term(), ++sequence)))
        .mapEmpty();
  }

  private void tick() {
    if (!active) {
      return;
    }
    guarded(this::runRound);
    timers.after(TICK_MILLIS, this::tick);
  }

  /**
   * Runs a part of the owner's work. Steps down after an unexpected error, so that another host
   * claims ownership.
   */
  private void guarded(Runnable part) {
    if (!active) {
      return;
    }
    try {
      part.run();
    } catch (RuntimeException e) {
      StringWriter trace = new StringWriter();
      e.printStackTrace(new PrintWriter(trace));
      log.event(JobEvent.INTERNAL_ERROR, "term", term(), "trace", trace);
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
    scheduler.decide(adviceDispatcher, timers.wallMillis(), now).forEach(this::execute);
    storeChanges(now);
    renewLeases(now);
  }

  private void execute(Action action) {
    switch (action) {
      case Action.Start start -> pendingStarts.add(start);
      case Action.Stop stop ->
          executors
              .stop(stop.target(), stop.run().task(), stop.run().number(), term())
              .onSuccess(a -> guarded(() -> stopAnswered(stop, a)));
      case Action.Pace pace ->
          executors
              .pace(pace.target(), pace.run().task(), pace.run().number(), pace.percent(), term())
              .onSuccess(this::checkFence);
      case Action.RequestAdvice request -> requestAdvice(request);
    }
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

  private void stopAnswered(Action.Stop stop, CommandResult result) {
    checkFence(result);
    scheduler.stopAnswered(stop.executor(), stop.run(), result, timers.nowMillis());
  }

  private void checkFence(CommandResult result) {
    if (result instanceof CommandResult.Refused refused && refused.reason() == Refusal.FENCED) {
      stepDown("an executor has seen the fencing token of a later owner");
    }
  }

  private void stepDown(String reason) {
    if (active) {
      active = false;
      log.event(JobEvent.STEPPED_DOWN, "term", term(), "reason", reason);
      onSuperseded.run();
    }
  }

  private void storeChanges(long now) {
    if (appending) {
      return;
    }
    Changes changes = scheduler.takeChanges();
    List<Action.Start> starts = List.copyOf(pendingStarts);
    pendingStarts.clear();
    if (changes.jobs().isEmpty() && now - lastStoredAppendSentAt < HEARTBEAT_MILLIS) {
      completeBatch(changes, starts);
      return;
    }
    List<Entry> entries = new ArrayList<>();
    changes.jobs().forEach((id, p) -> entries.add(LedgerCodec.progress(id, p)));
    if (entries.isEmpty()) {
      entries.add(LedgerCodec.owner(record));
    }
    appending = true;
    appendParts(entries, changes, starts);
  }

  private void appendParts(List<Entry> entries, Changes changes, List<Action.Start> starts) {
    int size = Math.min(MAX_BATCH_RECORDS, entries.size());
    append(
        entries.subList(0, size),
        ++sequence,
        () -> {
          if (size < entries.size()) {
            appendParts(entries.subList(size, entries.size()), changes, starts);
            return;
          }
          appending = false;
          if (!active) {
            onReleased.run();
            return;
          }
          guarded(() -> completeBatch(changes, starts));
          scheduleRound();
        });
  }

  /** Appends records, and retries until they are stored. */
  private void append(List<Entry> entries, long number, Runnable done) {
    new RetryingAppend(topic, timers, responseTimes, entries, new FencedWriter(term(), number))
        .run(() -> active)
        .onComplete(
            sentAt -> {
              lastStoredAppendSentAt = Math.max(lastStoredAppendSentAt, sentAt);
              done.run();
            },
            problem -> {
              appending = false;
              if (StoreException.kindOf(problem) == StoreException.Kind.SUPERSEDED) {
                stepDown("the store has seen the epoch of a later owner");
              }
              log.event(
                  JobEvent.APPEND_FAILED, "term", term(), "sequence", number, "reason", problem);
              onReleased.run();
            });
  }

  private void completeBatch(Changes changes, List<Action.Start> starts) {
    scheduler.endsStored(changes.ends());
    starts.forEach(this::sendStart);
  }

  private void sendStart(Action.Start start) {
    long confirmationMillis =
        Math.max(
            MIN_OWNERSHIP_CONFIRMATION_MILLIS,
            CONFIRMATION_RESPONSES * responseTimes.averageMillis());
    if (timers.nowMillis() - lastStoredAppendSentAt > confirmationMillis) {
      // Another owner may have taken over. The start is postponed until an append succeeds;
      // until then, the run stays in doubt.
      pendingStarts.add(start);
      return;
    }
    scheduler
        .startRequest(start.executor(), start.run(), timers.nowMillis())
        .ifPresent(
            request ->
                executors
                    .start(scheduler.target(start.executor()), request)
                    .onSuccess(result -> guarded(() -> startAnswered(start, result))));
  }

  private void startAnswered(Action.Start start, CommandResult result) {
    checkFence(result);
    scheduler.startAnswered(start.executor(), start.run(), result, timers.nowMillis());
    if (!(result instanceof CommandResult.Done)) {
      scheduleRound();
    }
  }

  private void renewLeases(long now) {
    for (String id : scheduler.executorsToRenew(now)) {
      if (leaseRenewalNotBefore.getOrDefault(id, Long.MIN_VALUE) <= now
          && leaseRenewalsInFlight.add(id)) {
        sendLeaseRenewal(id, now);
      }
    }
  }

  private void sendLeaseRenewal(String id, long now) {
    boolean renew = now - lastStoredAppendSentAt < storeGraceMillis;
    LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, renew, now);
    executors
        .renewLeases(scheduler.target(id), request)
        .onSuccess(
            result -> {
              leaseRenewalsInFlight.remove(id);
              guarded(() -> leaseRenewalAnswered(id, request, now, result));
            });
  }

  private void leaseRenewalAnswered(
      String id, LeaseRenewalRequest request, long sentAt, LeaseRenewalResult result) {
    long now = timers.nowMillis();
    if (result instanceof LeaseRenewalResult.Refused refused
        && refused.reason() == Refusal.FENCED) {
      stepDown("an executor has seen the fencing token of a later owner");
      return;
    }
    scheduler.leaseRenewalAnswered(id, request, sentAt, result, now);
    boolean reported = result instanceof LeaseRenewalResult.Report;
    leaseRenewalNotBefore.put(id, reported ? now : now + FAILED_RENEWAL_PAUSE_MILLIS);
    scheduleRound();
  }
}
