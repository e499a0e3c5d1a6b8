package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when a step asks for advice for which no host is free while others rank before it. */
final class AdviceTurnsTest {
  private static final AdviceSettings ADVICE = new AdviceSettings(400, 6, 2_000);
  private static final Queue FIRST = queue("first", 1, ADVICE);
  private static final Queue SECOND = queue("second", 2, ADVICE);
  private static final Queue UNADVISED = queue("unadvised", 0, null);
  private static final Resources CAPACITY = new Resources(10_000, 10_000, 0);
  private static final Resources SMALL = new Resources(1, 1, 0);
  private static final long ROUND_MILLIS = 50;
  private static final long MILLIS_PER_CALL = 400;

  private JobScheduler scheduler;
  private long now = 10_000;
  private long callerFreeAt;
  private int jobs;
  private final List<String> calls = new ArrayList<>();

  private static Queue queue(String name, int priority, AdviceSettings advice) {
    return new Queue(name, "host", "/q/", "svc", priority, 2, 1.5, 250, advice, false);
  }

  @BeforeEach
  void addExecutors() {
    scheduler =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            9,
            List.of(),
            id -> Optional.empty(),
            (kind, job, subject, reason) -> {},
            now,
            now);
    scheduler.configure(
        new SiteConfiguration(1, List.of(FIRST, SECOND, UNADVISED), List.of(), List.of()));
    for (String id : List.of("x1", "x2", "x3")) {
      scheduler.executorListed(
          new ExecutorInfo(id, id + ":80", "svc", "z", false, -1, CAPACITY, Set.of(), 7), now);
      LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
      scheduler.leaseRenewalAnswered(
          id, request, now, new LeaseRenewalResult.Report(now, 7, List.of(), List.of()), now);
    }
  }

  private String submit(Queue queue, Resources resources) {
    String id = queue.name() + ++jobs;
    StepSpec step = StepSpec.builder().tasks(1).resources(resources).estimateMillis(500).build();
    JobSpec spec = new JobSpec(id, queue, "team", "p", List.of(step), 0, 0, 0, now);
    scheduler.submitted(JobEntry.submitted(spec), now, now);
    return id;
  }

  private boolean reserve() {
    boolean free = now >= callerFreeAt;
    callerFreeAt = free ? now + MILLIS_PER_CALL : callerFreeAt;
    return free;
  }

  private void start(Action.Start start) {
    scheduler
        .startRequest(start.executor(), start.run(), now)
        .ifPresent(
            r ->
                scheduler.startAnswered(
                    start.executor(), start.run(), new CommandResult.Done(now), now));
  }

  /** Submits a job of the first queue in each round, and returns when a job is asked about. */
  private long askedAbout(String job, long millis) {
    for (long end = now + millis; now < end; now += ROUND_MILLIS) {
      submit(FIRST, SMALL);
      for (Action action : scheduler.decide(call -> reserve(), now, now)) {
        if (action instanceof Action.Start start) {
          start(start);
        } else if (action instanceof Action.RequestAdvice call) {
          Map<String, String> tickets =
              call.executors().stream().collect(Collectors.toMap(e -> e, e -> "ticket"));
          scheduler.adviceAnswered(call.step(), call.executors(), tickets, now, now);
          calls.add(call.step().job());
          if (call.step().job().equals(job)) {
            return now;
          }
        }
      }
    }
    return Long.MAX_VALUE;
  }

  /** Guards against a job that waits for as long as others arrive that rank before it. */
  @Test
  void stepThatWasTurnedAwayForLongAsksFirstWhileItsServiceHasRoom() {
    String late = submit(SECOND, SMALL);
    long submittedAt = now;
    long bound = AdviceTurns.TURN_AFTER_MILLIS + 3 * MILLIS_PER_CALL;
    assertThat(askedAbout(late, 30_000) - submittedAt).isAtMost(bound);
  }

  /** Guards against an overload in which all calls are made for work that is late already. */
  @Test
  void everySecondCallIsMadeInTheOrderOfTheSteps() {
    for (int i = 0; i < 20; i++) {
      submit(SECOND, SMALL);
    }
    askedAbout("", 12_000);
    assertThat(calls.stream().filter(c -> c.startsWith("first")).count())
        .isAtLeast(calls.size() / 2);
    assertThat(calls.stream().filter(c -> c.startsWith("second")).count()).isAtLeast(10);
  }

  /** In a service without room, a call more starts no task more. */
  @Test
  void stepsOfAServiceWithoutRoomAskInTheirOrder() {
    for (int i = 0; i < 3; i++) {
      submit(UNADVISED, new Resources(7_000, 7_000, 0));
    }
    scheduler.decide(call -> false, now, now).stream()
        .map(Action.Start.class::cast)
        .forEach(this::start);
    String late = submit(SECOND, SMALL);
    assertThat(askedAbout(late, 10_000)).isEqualTo(Long.MAX_VALUE);
  }
}
