package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.ZoneStates;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests that each step which waits for long is reported with what holds it. */
final class WaitMonitorTest {
  private static final Resources CAPACITY = new Resources(4_000, 4_000, 0);
  private static final Resources NO_LIMIT = new Resources(0, 0, 0);
  private static final long BOOT = 77;
  private static final long LEASE_LEFT_MILLIS = 11_000;
  private static final Queue QUEUE = queue("quick", null);
  private static final Queue ADVISED = queue("advised", new AdviceSettings(10, 1, 2_000));

  /** What the owner reported of one step. */
  private record Line(String subject, String reason) {}

  private final Map<String, JobEntry> ledger = new LinkedHashMap<>();
  private final List<Line> lines = new ArrayList<>();
  private final List<Action.RequestAdvice> calls = new ArrayList<>();
  private Map<String, Long> oldest = new HashMap<>();
  private boolean callersFree = true;
  private long now = 10_000;
  private JobScheduler scheduler = newOwner(SchedulerSettings.builder().build());

  private static Queue queue(String name, AdviceSettings advice) {
    return new Queue(name, "host", "/" + name + "/", "svc", 0, 2, 1.5, 250, advice, false);
  }

  private JobScheduler newOwner(SchedulerSettings settings) {
    DecisionListener listener =
        new DecisionListener() {
          @Override
          public void decisionMade(Kind kind, String job, String subject, String reason) {
            if (kind == Kind.STEP_WAITS) {
              lines.add(new Line(subject, reason));
            }
          }

          @Override
          public void oldestWaits(Map<String, Long> millisByReason) {
            oldest = millisByReason;
          }
        };
    JobScheduler created =
        new JobScheduler(
            settings,
            9,
            ledger.values(),
            id -> Optional.ofNullable(ledger.get(id)).flatMap(JobEntry::spec),
            listener,
            InheritedLeases.until(now + LEASE_LEFT_MILLIS),
            now,
            now);
    created.configure(configuration(NO_LIMIT));
    return created;
  }

  private static SiteConfiguration configuration(Resources limit) {
    Organisation team = new Organisation("team", Set.of(), 1, limit);
    return new SiteConfiguration(1, List.of(QUEUE, ADVISED), List.of(), List.of(team));
  }

  private void announce(String id, boolean draining, long boot) {
    scheduler.executorListed(
        new ExecutorInfo(id, id + ":80", "svc", "z", draining, -1, CAPACITY, Set.of(), boot), now);
  }

  private void answer(String id, LeaseRenewalResult result) {
    LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
    scheduler.leaseRenewalAnswered(id, request, now, result, now);
  }

  private void addExecutor(String id) {
    announce(id, false, BOOT);
    answer(id, new LeaseRenewalResult.Report(now, BOOT, List.of(), List.of()));
  }

  private static StepSpec.Builder tasks(int count, int processors) {
    return StepSpec.builder()
        .tasks(count)
        .resources(new Resources(processors * 1_000L, 100, 0))
        .estimateMillis(9_000);
  }

  private LiveStep submit(String id, Queue queue, StepSpec.Builder step) {
    JobSpec spec = new JobSpec(id, queue, "team", "p", List.of(step.build()), 0, 0, 0, now);
    ledger.put(id, JobEntry.submitted(spec));
    scheduler.submitted(ledger.get(id), now, now);
    return scheduler.state().jobs.get(id).steps().get(0);
  }

  /** Decides once, and confirms all starts. */
  private void decide() {
    for (Action action : scheduler.decide(millis -> callersFree, now, now)) {
      if (action instanceof Action.RequestAdvice call) {
        calls.add(call);
      } else if (action instanceof Action.Start start) {
        assertThat(scheduler.startRequest(start.executor(), start.run(), now)).isPresent();
        scheduler.startAnswered(start.executor(), start.run(), new CommandResult.Done(now), now);
      }
    }
  }

  private void run(long millis) {
    for (long end = now + millis; now < end; now += 50) {
      decide();
    }
  }

  /** Returns the reasons of the lines on a job, in their order. */
  private List<String> reasons(String job) {
    return lines.stream().filter(l -> l.subject.startsWith(job + ".")).map(Line::reason).toList();
  }

  private void assertWaits(String job, String expected) {
    run(5_000);
    assertThat(reasons(job)).hasSize(1);
    assertThat(reasons(job).get(0)).startsWith(expected);
  }

  @Test
  void stepWithoutRoomThatComesFirstWaitsForRoom() {
    addExecutor("x1");
    submit("long", QUEUE, tasks(4, 1));
    decide();
    submit("j1", QUEUE, tasks(2, 1));
    assertWaits("j1", "ROOM: none of 1 executors has room; 2 of 2 tasks wait for 3");
    assertThat(reasons("long")).isEmpty();
    assertThat(oldest.keySet()).containsExactly("ROOM");
    assertThat(oldest.get("ROOM")).isAtLeast(4_000L);
  }

  @Test
  void stepThatOthersPrecedeWaitsForItsTurn() {
    addExecutor("x1");
    submit("long", QUEUE, tasks(4, 1));
    decide();
    submit("j1", QUEUE, tasks(1, 1));
    now += 10;
    submit("j2", QUEUE, tasks(1, 1));
    assertWaits("j2", "ORDER: none of 1 executors has room, and 1 steps come first");
  }

  @Test
  void stepThatFitsOnNoExecutorSaysSo() {
    addExecutor("x1");
    submit("j1", QUEUE, tasks(1, 5));
    assertWaits("j1", "NO_EXECUTOR: ");
  }

  @Test
  void stepWhoseExecutorsTakeNoTasksNamesTheCauses() {
    announce("draining", true, BOOT);
    answer("draining", new LeaseRenewalResult.Report(now, BOOT, List.of(), List.of()));
    announce("new", false, BOOT);
    addExecutor("silent");
    answer("silent", new LeaseRenewalResult.Unknown("timeout"));
    addExecutor("restarted");
    answer("restarted", new LeaseRenewalResult.Report(now, BOOT + 1, List.of(), List.of()));
    submit("j1", QUEUE, tasks(1, 1));
    assertWaits("j1", "EXCLUSION: ");
    assertThat(reasons("j1").get(0)).contains("DRAINING=1");
    assertThat(reasons("j1").get(0)).contains("NOT_REPORTED=1");
    assertThat(reasons("j1").get(0)).contains("SILENT=1");
    assertThat(reasons("j1").get(0)).contains("BOOT_NOT_ANNOUNCED=1");
  }

  @Test
  void executorsInQuarantineOrInAnEvacuatedZoneAreNamed() {
    addExecutor("x1");
    LiveStep first = submit("first", QUEUE, tasks(1, 1));
    decide();
    LiveStep step = submit("j1", QUEUE, tasks(1, 1));
    WaitDiagnosis diagnosis = new WaitDiagnosis(scheduler.state(), millis -> true, Map.of());
    LiveExecutor executor = scheduler.state().executors.get("x1");
    executor.quarantine().runRefused(first.tasks().get(0).run(), now);
    assertThat(diagnosis.of(step, now))
        .isEqualTo(new WaitReason.Excluded(Map.of(Exclusion.QUARANTINED, 1), 0));
    scheduler.updateZones(new ZoneStates(Set.of("z"), Map.of()), now);
    assertThat(diagnosis.of(step, now))
        .isEqualTo(new WaitReason.Excluded(Map.of(Exclusion.ZONE_NOT_IN_USE, 1), 0));
  }

  @Test
  void stepWithAnAdviceCallInProgressWaitsForIt() {
    addExecutor("x1");
    submit("j1", ADVISED, tasks(1, 1));
    assertWaits("j1", "ADVICE_PENDING: advice call in progress for 3");
  }

  @Test
  void stepForWhichNoHostIsFreeWaitsForACaller() {
    callersFree = false;
    addExecutor("x1");
    submit("j1", ADVISED, tasks(1, 1));
    assertWaits("j1", "NO_CALLER: no host is free");
  }

  @Test
  void stepWhoseCallFailedWaitsForTheNextOne() {
    addExecutor("x1");
    LiveStep step = submit("j1", ADVISED, tasks(1, 1));
    run(2_900);
    scheduler.adviceFailed(step.id(), "no answer", now + 100);
    run(200);
    assertThat(reasons("j1")).hasSize(1);
    assertThat(reasons("j1").get(0))
        .startsWith("ADVICE_RETRY: advice call failed, the next one follows in 300 ms");
  }

  @Test
  void stepThatIsDeniedEverywhereWaitsForTickets() {
    addExecutor("x1");
    submit("j1", ADVISED, tasks(1, 1));
    decide();
    Action.RequestAdvice call = calls.get(0);
    scheduler.adviceAnswered(call.step(), call.executors(), Map.of(), now, now);
    assertWaits("j1", "DENIED: all 1 executors with room are denied");
  }

  @Test
  void stepBeyondTheLimitOfItsOrganisationSaysSo() {
    scheduler.configure(configuration(new Resources(4_000, 4_000, 1)));
    addExecutor("x1");
    addExecutor("x2");
    submit("long", QUEUE, tasks(4, 1));
    decide();
    submit("j1", QUEUE, tasks(1, 1));
    assertWaits("j1", "LIMIT: limit of organisation team");
  }

  @Test
  void stepBehindAGangWaitsForItsReservation() {
    addExecutor("x1");
    addExecutor("x2");
    submit("long", QUEUE, tasks(2, 3));
    decide();
    submit("gang", QUEUE, tasks(2, 4).gang(true));
    now += 10;
    submit("j1", QUEUE, tasks(1, 1).estimateMillis(60_000));
    assertWaits("j1", "RESERVATION: all 2 executors with room are kept for gangs");
    assertThat(reasons("gang").get(0)).startsWith("ROOM: ");
  }

  @Test
  void gangWithRoomForSomeMembersNamesTheirNumber() {
    addExecutor("x1");
    addExecutor("x2");
    submit("long", QUEUE, tasks(3, 1));
    decide();
    submit("gang", QUEUE, tasks(6, 1).gang(true));
    assertWaits("gang", "GANG: room for 5 of 6 members; 6 of 6 tasks wait");
  }

  @Test
  void stepWhoseJobIsSetAsideSaysSo() {
    submit("j1", QUEUE, tasks(1, 1));
    scheduler.state().jobs.get("j1").setAside();
    assertWaits("j1", "SET_ASIDE: ");
  }

  @Test
  void stepThatPausesBeforeARetryNamesTheTimeLeft() {
    LiveStep step = submit("j1", QUEUE, tasks(1, 1));
    step.tasks().get(0).retryAt(now + 9_000);
    assertWaits("j1", "RETRY_PAUSE: next run in ");
  }

  /** The record of a job holds one task that has begun, and a long-running one is never done. */
  @Test
  void stepOfWhichNoMoreTasksMayBeginSaysSo() {
    scheduler = newOwner(SchedulerSettings.builder().maxRecordBytes(1).build());
    addExecutor("x1");
    submit("j1", QUEUE, tasks(2, 1).longRunning(true));
    assertWaits("j1", "BEGUN_TASKS: 1 tasks have begun, no more may; 1 of 2 tasks wait");
  }

  @Test
  void executorsThatAreHeldForSuspectsAreNamed() {
    addExecutor("x1");
    LiveStep step = submit("j1", QUEUE, tasks(1, 1));
    scheduler.state().held.add(scheduler.state().executors.get("x1"));
    WaitDiagnosis diagnosis = new WaitDiagnosis(scheduler.state(), millis -> true, Map.of());
    assertThat(diagnosis.of(step, now)).isEqualTo(new WaitReason.Suspect(1));
  }

  @Test
  void suspectWithRoomIsPlacedApart() {
    addExecutor("x1");
    LiveStep step = submit("j1", QUEUE, tasks(1, 1));
    step.tasks().get(0).restore(new TaskProgress(false, 2, 0, "", 0, "", 2, 0, 0));
    WaitDiagnosis diagnosis = new WaitDiagnosis(scheduler.state(), millis -> true, Map.of());
    assertThat(diagnosis.of(step, now)).isEqualTo(new WaitReason.Suspect(0));
  }

  /** Guards against a search that is not repeated, which no other line would show. */
  @Test
  void stepThatNothingKnownHoldsIsReportedAsUnexplained() {
    addExecutor("x1");
    decide();
    LiveStep step = submit("j1", QUEUE, tasks(1, 1));
    step.triedAtVersion(Long.MAX_VALUE);
    assertWaits("j1", "UNEXPLAINED: 1 executors have room");
  }

  /** An owner adopts a run on an executor that does not answer, whose lease has to lapse first. */
  @Test
  void stepWithARunUnderAnEarlierLeaseNamesTheExecutorAndTheTimeLeft() {
    announce("gone", false, BOOT);
    answer("gone", new LeaseRenewalResult.Report(now, BOOT, List.of(), List.of()));
    JobSpec spec = submit("j1", QUEUE, tasks(1, 1)).job().spec();
    decide();
    LedgerSnapshot stored = new LedgerSnapshot();
    stored.applyLane(0, LedgerCodec.job(spec));
    stored.applyLane(
        0, LedgerCodec.progress("j1", scheduler.takeChanges(1, job -> true).jobs().get("j1")));
    ledger.put("j1", stored.job("j1").orElseThrow());
    now += 40_000;
    scheduler = newOwner(SchedulerSettings.builder().build());
    addExecutor("x1");
    assertWaits("j1", "LEASE: executor gone does not answer; 1 runs, lease lapses in 8");
    assertThat(reasons("j1").get(0)).contains("wait for at least 3");
    assertThat(reasons("j1").get(0)).contains("accepted 43");
  }

  @Test
  void firstStepOfAJobThatAnEarlierOwnerKnewHasWaitedSinceItsAcceptance() {
    submit("j1", QUEUE, tasks(1, 1));
    now += 7_000;
    scheduler = newOwner(SchedulerSettings.builder().build());
    run(1_100);
    assertThat(reasons("j1")).hasSize(1);
    assertThat(reasons("j1").get(0)).contains("wait for 8000 ms");
  }

  @Test
  void lineIsRepeatedEachTimeTheAgeHasDoubled() {
    submit("j1", QUEUE, tasks(1, 1));
    run(50_000);
    assertThat(reasons("j1")).hasSize(5);
    assertThat(oldest.get("NO_EXECUTOR")).isAtLeast(48_000L);
    scheduler.cancelled("j1", now);
    run(1_100);
    assertThat(oldest).isEmpty();
  }

  /** Guards against an owner that floods its log while much more waits than can run. */
  @Test
  void linesOfAllStepsAreBounded() {
    addExecutor("x1");
    for (int i = 0; i < 500; i++) {
      submit("j" + i, QUEUE, tasks(1, 4));
    }
    for (int second = 0; second < 40; second++) {
      int before = lines.size();
      run(1_000);
      assertThat(lines.size() - before).isAtMost(WaitMonitor.MAX_STEPS_PER_PASS);
    }
    Map<String, Long> bySubject =
        lines.stream().collect(Collectors.groupingBy(Line::subject, Collectors.counting()));
    assertThat(bySubject).hasSize(499);
    bySubject.values().forEach(count -> assertThat(count).isAtMost(4L));
  }

  @Test
  void everyReasonIsListedInTheCatalogue() throws IOException {
    List<WaitReason> reasons =
        List.of(
            new WaitReason.Order(1, 1),
            new WaitReason.Room(1),
            new WaitReason.NoExecutor("svc"),
            new WaitReason.Excluded(Map.of(), 1),
            new WaitReason.AdvicePending(1, 1),
            new WaitReason.NoCaller(AdviceSlots.Usage.NONE),
            new WaitReason.AdviceRetry(1),
            new WaitReason.Denied(1),
            new WaitReason.Limit("team"),
            new WaitReason.Reserved(1),
            new WaitReason.Gang(1, 2),
            new WaitReason.Suspect(1),
            new WaitReason.Lease("x1", 1, 1),
            new WaitReason.BegunTasks(1),
            new WaitReason.SetAside(),
            new WaitReason.RetryPause(1),
            new WaitReason.Unexplained(1),
            new WaitReason.Undetermined("problem"));
    assertThat(reasons).hasSize(WaitReason.class.getPermittedSubclasses().length);
    String page = Files.readString(Path.of("..", "docs", "EVENTS.md"));
    reasons.forEach(r -> assertThat(page).contains("| `" + r.code() + "` | "));
  }
}
