package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests when executors whose runs fail are excluded, and for how long. */
final class QuarantineTest {
  private static final Queue QUEUE =
      new Queue("quick", "host", "/q/", "svc", 0, 3, 1.5, 250, null, false);

  private final Map<String, JobEntry> ledger = new LinkedHashMap<>();
  private final Map<String, List<Action.Start>> running = new HashMap<>();
  private final Map<String, Long> ends = new HashMap<>();
  private long now = 10_000;
  private final JobScheduler scheduler = newScheduler();

  private JobScheduler newScheduler() {
    JobScheduler created =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            9,
            List.of(),
            id -> Optional.ofNullable(ledger.get(id)).flatMap(JobEntry::spec),
            (kind, job, subject, reason) -> {},
            now,
            now);
    Organisation team = new Organisation("team", Set.of(), 1, new Resources(0, 0, 0));
    created.configure(new SiteConfiguration(1, List.of(QUEUE), List.of(), List.of(team)));
    return created;
  }

  private void addExecutor(String id, long milliProcessors) {
    scheduler.executorListed(info(id, milliProcessors), now);
    report(id, List.of());
  }

  private static ExecutorInfo info(String id, long milliProcessors) {
    Resources capacity = new Resources(milliProcessors, 64_000, 0);
    return new ExecutorInfo(id, id + ":80", "svc", "z", false, -1, capacity, Set.of(), 77);
  }

  private void report(String id, List<EndedRun> ended) {
    LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
    long sentAt = now;
    now += 10;
    List<ActiveRun> active =
        running.getOrDefault(id, List.of()).stream()
            .map(s -> new ActiveRun(s.run().task(), s.run().number(), "", 100, 0))
            .toList();
    scheduler.leaseRenewalAnswered(
        id, request, sentAt, new LeaseRenewalResult.Report(now, 77, active, ended), now);
  }

  private void submit(String id, long milliProcessors) {
    StepSpec step =
        StepSpec.builder()
            .resources(new Resources(milliProcessors, 100, 0))
            .estimateMillis(500)
            .build();
    JobSpec spec = new JobSpec(id, QUEUE, "team", "p", List.of(step), 0, 0, 0, now);
    ledger.put(id, JobEntry.submitted(spec));
    scheduler.submitted(ledger.get(id), now, now);
  }

  private void submit(String id) {
    submit(id, 1_000);
  }

  /** Starts what is decided now. */
  private List<Action.Start> start() {
    List<Action.Start> starts =
        scheduler.decide(millis -> true, now, now).stream()
            .filter(a -> a instanceof Action.Start)
            .map(a -> (Action.Start) a)
            .toList();
    for (Action.Start start : starts) {
      assertThat(scheduler.startRequest(start.executor(), start.run(), now)).isPresent();
      CommandResult answer = new CommandResult.Done(now);
      scheduler.startAnswered(start.executor(), start.run(), answer, now);
      running.computeIfAbsent(start.executor(), e -> new ArrayList<>()).add(start);
    }
    return starts;
  }

  private Action.Start startOne(String job) {
    submit(job);
    List<Action.Start> starts = start();
    assertThat(starts).hasSize(1);
    return starts.get(0);
  }

  private void end(Action.Start run, EndReason reason) {
    now += 10;
    running.get(run.executor()).remove(run);
    long number = ends.merge(run.executor(), 1L, Long::sum);
    EndedRun end = new EndedRun(number, run.run().task(), run.run().number(), reason, "");
    report(run.executor(), List.of(end));
  }

  private void failFirstRun(String job) {
    Action.Start run = startOne(job);
    end(run, EndReason.FAILED);
    scheduler.cancelled(job, now);
  }

  /** Returns the number of rounds of 50 ms, at most 200, until something is started. */
  private int roundsUntilStart() {
    for (int rounds = 0; rounds < 200; rounds++) {
      if (!start().isEmpty()) {
        return rounds;
      }
      now += 50;
    }
    return 200;
  }

  /** Guards against waiting for the end of the quarantine of the only executor with room. */
  @Test
  void taskWithoutAnotherExecutorRunsOnOneInQuarantine() {
    addExecutor("x1", 8_000);
    List.of("j1", "j2", "j3").forEach(this::failFirstRun);
    submit("j4");
    submit("j5");
    assertThat(roundsUntilStart() * 50L).isAtMost(Quarantine.PROBE_MILLIS);
    assertThat(running.get("x1")).hasSize(1);
  }

  /** Guards against a quarantine that lasts although the executor does its work again. */
  @Test
  void quarantineEndsWhenATaskSucceeds() {
    addExecutor("x1", 8_000);
    List.of("j1", "j2", "j3").forEach(this::failFirstRun);
    submit("j4");
    assertThat(roundsUntilStart() * 50L).isAtMost(Quarantine.PROBE_MILLIS);
    end(running.get("x1").get(0), EndReason.DONE);
    submit("j5");
    submit("j6");
    assertThat(start()).hasSize(2);
  }

  /** Guards against an exclusion of 16 s after failures that tell nothing new. */
  @Test
  void runsDecidedBeforeAQuarantineDoNotRenewIt() {
    addExecutor("x1", 8_000);
    for (int i = 1; i <= 6; i++) {
      submit("j" + i);
    }
    List<Action.Start> runs = start();
    runs.forEach(r -> end(r, EndReason.FAILED));
    now += 4_000;
    assertThat(start()).hasSize(6);
  }

  /** Guards against idle executors that are excluded because callers' own tasks fail everywhere. */
  @Test
  void executorsAreNotExcludedWhereMostRunsFail() {
    List.of("x1", "x2", "x3", "x4").forEach(id -> addExecutor(id, 4_000));
    Random random = new Random(1);
    int started = 0;
    for (int i = 0; i < 300; i++) {
      for (int k = 0; k < 16; k++) {
        submit("j" + i + "." + k);
      }
      List<Action.Start> runs = start();
      started += i < 100 ? 0 : runs.size();
      now += 200;
      runs.forEach(r -> end(r, random.nextInt(10) < 6 ? EndReason.FAILED : EndReason.DONE));
      List.copyOf(ledger.keySet()).forEach(job -> scheduler.cancelled(job, now));
      ledger.clear();
    }
    assertThat(started).isAtLeast(200 * 16 * 9 / 10);
  }

  /** Guards against an executor that fails whatever it starts and keeps getting tasks. */
  @Test
  void executorThatFailsWhileOthersSucceedGetsNoTasksThatFitElsewhere() {
    addExecutor("bad", 1_000);
    addExecutor("good", 8_000);
    for (int i = 0; i < 3; i++) {
      failFirstRun("j" + i);
    }
    for (int i = 0; i < 30; i++) {
      Action.Start run = startOne("k" + i);
      assertThat(run.executor()).isEqualTo("good");
      end(run, EndReason.DONE);
      now += 50;
    }
  }

  /** Guards against a task that fails everywhere and takes several executors out of use. */
  @Test
  void taskThatHasFailedBeforeIsNoEvidence() {
    addExecutor("x1", 8_000);
    addExecutor("x2", 8_000);
    for (int i = 1; i <= 2; i++) {
      submit("j" + i);
    }
    List<Action.Start> first = start();
    first.forEach(r -> end(r, EndReason.FAILED));
    List<Action.Start> second = start();
    assertThat(second).hasSize(2);
    second.forEach(r -> end(r, EndReason.FAILED));
    assertThat(start().stream().map(Action.Start::executor).toList()).containsExactly("x1", "x1");
  }

  /** Guards against an executor that fails everything and uses up all attempts of a task. */
  @Test
  void taskThatFailedIsTriedAgainOnAnotherExecutor() {
    addExecutor("bad", 4_000);
    addExecutor("good", 8_000);
    Action.Start first = startOne("j1");
    assertThat(first.executor()).isEqualTo("bad");
    end(first, EndReason.FAILED);
    assertThat(start().stream().map(Action.Start::executor)).containsExactly("good");
  }

  /**
   * Guards against executors that fail everything and excuse each other: they end many more runs
   * than the sound ones.
   */
  @Test
  void executorsThatFailEverythingDoNotExcuseEachOther() {
    FailureRates rates = new FailureRates();
    List<LiveExecutor> bad = executors("bad", 4);
    List<LiveExecutor> good = executors("good", 4);
    for (int i = 0; i < 40; i++) {
      bad.forEach(e -> rates.runEnded(e, true, now));
    }
    good.forEach(e -> rates.runEnded(e, false, now));
    assertThat(rates.maxFailures(bad.get(0), now)).isEqualTo(3);
  }

  private List<LiveExecutor> executors(String name, int count) {
    ZoneEvacuation zones = new ZoneEvacuation(SchedulerSettings.builder().build());
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                new LiveExecutor(
                    name + i,
                    zones,
                    new ExecutorLease(SchedulerSettings.builder().build()),
                    new CallFence(1)))
        .peek(e -> e.announced(info(e.id(), 4_000), 0, now))
        .toList();
  }
}
