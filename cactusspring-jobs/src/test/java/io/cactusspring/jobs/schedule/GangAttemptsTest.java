package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that a run of a gang counts as one attempt, whichever of its members fail. */
final class GangAttemptsTest {
  private static final int ATTEMPTS = 3;
  private static final int MEMBERS = 4;
  private static final long BOOT = 77;
  private static final Queue QUEUE =
      new Queue("plans", "host", "/p/", "svc", 0, ATTEMPTS, 1.5, 250, null, false);
  private static final JobSpec JOB =
      new JobSpec(
          "j1",
          QUEUE,
          "team",
          "p",
          List.of(
              StepSpec.builder()
                  .tasks(MEMBERS)
                  .gang(true)
                  .maxPerExecutor(1)
                  .resources(new Resources(1_000, 100, 0))
                  .build()),
          0,
          0,
          0,
          1);

  private final LedgerSnapshot store = new LedgerSnapshot();

  /** The runs that executors list, by executor. */
  private final Map<String, ActiveRun> running = new LinkedHashMap<>();

  /** The ends that executors list until they are acknowledged, by executor. */
  private final Map<String, List<EndedRun>> ended = new LinkedHashMap<>();

  private final Map<String, Long> endNumbers = new LinkedHashMap<>();
  private long term;
  private long now = 10_000;
  private JobScheduler owner;

  /** Replaces the owner, if there is one, by a new one that knows what was stored. */
  private void takeOver() {
    now += 100;
    owner =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            ++term,
            store.jobs(),
            id -> Optional.of(JOB),
            (kind, job, subject, reason) -> {},
            now,
            now);
    Organisation team = new Organisation("team", Set.of(), 1, new Resources(0, 0, 0));
    owner.configure(new SiteConfiguration(1, List.of(QUEUE), List.of(), List.of(team)));
    for (int i = 0; i < MEMBERS; i++) {
      Resources capacity = new Resources(1_000, 8_000, 0);
      owner.executorListed(
          new ExecutorInfo("x" + i, "place-" + i, "svc", "z", false, -1, capacity, Set.of(), BOOT),
          now);
      report("x" + i);
    }
  }

  private void submit() {
    takeOver();
    store.applyLane(0, LedgerCodec.job(JOB));
    owner.submitted(store.jobs().iterator().next(), now, now);
  }

  /** Stores what has changed; the ends that the owner has read are acknowledged after that. */
  private void store() {
    Optional<JobProgress> progress = changed();
    progress.ifPresent(p -> store.applyLane(0, LedgerCodec.progress("j1", p)));
  }

  private Optional<JobProgress> changed() {
    return Optional.ofNullable(owner.takeChanges(10, job -> true).jobs().get("j1"));
  }

  private void report(String executor) {
    LeaseRenewalRequest request = owner.leaseRenewalRequest(executor, true, now);
    List<ActiveRun> runs = Optional.ofNullable(running.get(executor)).stream().toList();
    List<EndedRun> ends = List.copyOf(ended.getOrDefault(executor, List.of()));
    LeaseRenewalResult result = new LeaseRenewalResult.Report(now, BOOT, runs, ends);
    owner.leaseRenewalAnswered(executor, request, now, result, ++now);
  }

  private void reportAll() {
    IntStream.range(0, MEMBERS).forEach(i -> report("x" + i));
  }

  /** Carries out the owner's decisions; returns the number of the run that was started. */
  private int decide() {
    List<Integer> started = new ArrayList<>();
    for (Action action : owner.decide(millis -> true, now, now)) {
      switch (action) {
        case Action.Start start -> {
          assertThat(owner.startRequest(start.executor(), start.run(), now)).isPresent();
          TaskId task = start.run().task();
          int number = start.run().number();
          running.put(start.executor(), new ActiveRun(task, number, "", 10, 0));
          owner.startAnswered(start.executor(), start.run(), new CommandResult.Done(now), now);
          started.add(number);
        }
        case Action.Stop stop -> end(stop.executor(), EndReason.STOPPED);
        default -> {}
      }
    }
    now += 100;
    assertThat(started).hasSize(started.isEmpty() ? 0 : MEMBERS);
    return started.stream().findFirst().orElse(0);
  }

  /** Starts the next run of the gang, and stores that; returns its number, or 0 if none starts. */
  private int startRun() {
    int number = 0;
    for (int round = 0; number == 0 && round < 5; round++) {
      reportAll();
      store();
      number = decide();
    }
    reportAll();
    store();
    return number;
  }

  private void end(String executor, EndReason how) {
    ActiveRun run = running.remove(executor);
    if (run != null) {
      long number = endNumbers.merge(executor, 1L, Long::sum);
      ended
          .computeIfAbsent(executor, e -> new ArrayList<>())
          .add(new EndedRun(number, run.task(), run.run(), how, ""));
    }
  }

  /** Lets the members on some executors fail, each end reported by itself. */
  private void fail(String... executors) {
    for (String executor : executors) {
      end(executor, EndReason.FAILED);
    }
    for (String executor : executors) {
      report(executor);
    }
  }

  private JobState state() {
    store();
    return store.jobs().iterator().next().state();
  }

  @Test
  void runOfWhichAllMembersFailIsOneAttempt() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    fail("x0", "x1", "x2", "x3");
    assertThat(state()).isEqualTo(JobState.RUNNING);
    assertThat(startRun()).isEqualTo(2);
  }

  @Test
  void jobFailsOnceAsManyRunsAsAttemptsHaveFailed() {
    submit();
    for (int run = 1; run <= ATTEMPTS; run++) {
      assertThat(state()).isEqualTo(run == 1 ? JobState.PENDING : JobState.RUNNING);
      assertThat(startRun()).isEqualTo(run);
      fail("x1", "x2");
    }
    assertThat(state()).isEqualTo(JobState.FAILED);
  }

  @Test
  void membersOfOneRunThatFailUnderSeveralOwnersAreOneAttempt() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    for (String executor : List.of("x0", "x1", "x2", "x3")) {
      fail(executor);
      store();
      takeOver();
    }
    assertThat(state()).isEqualTo(JobState.RUNNING);
    assertThat(startRun()).isEqualTo(2);
  }

  @Test
  void failuresThatTheLastOwnerDidNotStoreAreOneAttemptToo() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    fail("x0", "x1", "x2", "x3");
    takeOver();
    assertThat(state()).isEqualTo(JobState.RUNNING);
    assertThat(startRun()).isEqualTo(2);
  }

  @Test
  void runsOfWhichOneMemberFailsCountThroughTakeovers() {
    submit();
    for (int run = 1; run <= ATTEMPTS; run++) {
      assertThat(startRun()).isEqualTo(run);
      fail("x" + run);
      assertThat(state()).isEqualTo(run < ATTEMPTS ? JobState.RUNNING : JobState.FAILED);
      if (run < ATTEMPTS) {
        takeOver();
      }
    }
  }

  /** Guards against a restored run that is taken as counted because an earlier one was. */
  @Test
  void runThatWasActiveAtTheTakeoverCountsWhenItFails() {
    submit();
    for (int run = 1; run <= ATTEMPTS; run++) {
      assertThat(startRun()).isEqualTo(run);
      takeOver();
      fail("x1");
      assertThat(state()).isEqualTo(run < ATTEMPTS ? JobState.RUNNING : JobState.FAILED);
    }
  }
}
