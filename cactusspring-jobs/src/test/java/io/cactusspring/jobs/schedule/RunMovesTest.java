package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.model.ZoneStates;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the scheduler's decisions about an evacuated zone, rule by rule: starts in the zone, and
 * which runs are moved out of it.
 */
final class RunMovesTest {
  private static final Resources CAPACITY = new Resources(4_000, 4_000, 0);
  private static final Resources TASK = new Resources(1_000, 1_000, 0);
  private static final long BOOT = 77;
  private static final ZoneStates A_EVACUATED = ZoneStates.NONE.evacuate("a");

  private final Map<String, JobEntry> ledger = new LinkedHashMap<>();
  private final Map<String, Long> lastEnds = new LinkedHashMap<>();
  private final List<String> moved = new ArrayList<>();
  private JobScheduler scheduler;
  private long now = 10_000;

  @BeforeEach
  void takeOver() {
    scheduler =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            9,
            ledger.values(),
            id -> Optional.ofNullable(ledger.get(id)).flatMap(JobEntry::spec),
            (kind, job, subject, reason) -> {
              if (kind == DecisionListener.Kind.RUN_MOVED) {
                moved.add(reason);
              }
            },
            now,
            now);
    // Stops of the previous owner are known after this time.
    now += 2_000;
  }

  private void addExecutor(String id, String zone) {
    scheduler.executorListed(
        new ExecutorInfo(id, id + ":80", "svc", zone, false, -1, CAPACITY, Set.of(), BOOT), now);
    report(id, List.of(), List.of());
  }

  private void report(String id, List<ActiveRun> running, List<EndedRun> ended) {
    LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
    long sentAt = now;
    now += 10;
    scheduler.leaseRenewalAnswered(
        id, request, sentAt, new LeaseRenewalResult.Report(now, BOOT, running, ended), now);
  }

  private static Queue queue(AdviceSettings advice) {
    return new Queue("q", "host", "/q/", "svc", 0, 2, 1.5, 250, advice, false);
  }

  private void submit(String id, StepSpec.Builder step) {
    submit(id, queue(null), step);
  }

  private void submit(String id, Queue queue, StepSpec.Builder step) {
    StepSpec spec = step.resources(TASK).estimateMillis(500).build();
    JobSpec job = new JobSpec(id, queue, "team", "p", List.of(spec), 0, 0, 0, now);
    ledger.put(id, JobEntry.submitted(job));
    scheduler.submitted(ledger.get(id), now, now);
  }

  private static StepSpec.Builder tasks(int count) {
    return StepSpec.builder().tasks(count);
  }

  private static StepSpec.Builder checkpointed(int count) {
    return tasks(count).checkpoints(true);
  }

  private static StepSpec.Builder longRunning(int count, int maxUnavailable) {
    return tasks(count).longRunning(true).maxUnavailable(maxUnavailable);
  }

  private List<Action> decide() {
    now += 100;
    return scheduler.decide(millis -> true, now, now);
  }

  private List<Action.Start> starts() {
    return decide().stream()
        .filter(a -> a instanceof Action.Start)
        .map(a -> (Action.Start) a)
        .toList();
  }

  private List<Action.Stop> stops() {
    return decide().stream()
        .filter(a -> a instanceof Action.Stop)
        .map(a -> (Action.Stop) a)
        .toList();
  }

  private List<Action.Start> startAll() {
    List<Action.Start> started = starts();
    started.forEach(this::confirm);
    return started;
  }

  private void confirm(Action.Start start) {
    assertThat(scheduler.startRequest(start.executor(), start.run(), now)).isPresent();
    scheduler.startAnswered(start.executor(), start.run(), new CommandResult.Done(now), now);
    now += 10;
  }

  private void evacuate() {
    scheduler.updateZones(A_EVACUATED, now);
  }

  private static ActiveRun active(RunKey run) {
    return new ActiveRun(run.task(), run.number(), "", 50, 0);
  }

  /** Reports the end of a run; the others of the executor go on. */
  private void end(String executor, RunKey run, EndReason reason, List<RunKey> others) {
    long number = lastEnds.merge(executor, 1L, Long::sum);
    TaskId task = run.task();
    report(
        executor,
        others.stream().map(RunMovesTest::active).toList(),
        List.of(new EndedRun(number, task, run.number(), reason, "checkpoint")));
  }

  private static List<RunKey> keys(List<Action.Start> starts) {
    return starts.stream().map(Action.Start::run).toList();
  }

  /** Guards against a start in the zone by the placement of single tasks and of gangs. */
  @Test
  void executorsOfAnEvacuatedZoneGetNoTasks() {
    addExecutor("x1", "a");
    evacuate();
    submit("single", tasks(1));
    submit("gang", tasks(2).gang(true));
    assertThat(starts()).isEmpty();
    addExecutor("x2", "b");
    assertThat(starts().stream().map(Action.Start::executor).distinct().toList())
        .containsExactly("x2");
  }

  /** Guards against advice calls, which cost time, for executors that get no tasks. */
  @Test
  void adviceCallsDoNotNameExecutorsOfAnEvacuatedZone() {
    addExecutor("x1", "a");
    addExecutor("x2", "b");
    evacuate();
    submit("j", queue(new AdviceSettings(10, 1, 2_000)), tasks(1));
    Action.RequestAdvice call = (Action.RequestAdvice) decide().get(0);
    assertThat(call.executors()).containsExactly("x2");
  }

  /** Guards against stopping runs for tasks that could not start in their place. */
  @Test
  void nothingIsPreemptedInAnEvacuatedZone() {
    addExecutor("x1", "a");
    Queue low = new Queue("low", "host", "/q/", "svc", 2, 2, 1.5, 250, null, false);
    submit("low", low, checkpointed(4));
    startAll();
    now += 2_000;
    evacuate();
    submit("urgent", tasks(1));
    assertThat(decide()).isEmpty();
  }

  /** Guards against a start that is sent after the zone was evacuated. */
  @Test
  void startThatIsDecidedButNotSentIsWithdrawn() {
    addExecutor("x1", "a");
    submit("j", tasks(1));
    Action.Start decided = starts().get(0);
    evacuate();
    assertThat(scheduler.startRequest(decided.executor(), decided.run(), now)).isEmpty();
    addExecutor("x2", "b");
    Action.Start second = starts().get(0);
    assertThat(second.executor()).isEqualTo("x2");
    assertThat(second.run().number()).isEqualTo(2);
  }

  /** Guards against a repeated start in the zone when the first one was not answered. */
  @Test
  void unansweredStartIsNotSentAgainToAnEvacuatedZone() {
    addExecutor("x1", "a");
    submit("j", tasks(1));
    Action.Start start = starts().get(0);
    assertThat(scheduler.startRequest(start.executor(), start.run(), now)).isPresent();
    scheduler.startAnswered("x1", start.run(), new CommandResult.Unknown("no answer"), now);
    evacuate();
    now += 200;
    starts().forEach(s -> assertThat(scheduler.startRequest(s.executor(), s.run(), now)).isEmpty());
    assertThat(stops()).hasSize(1);
  }

  @Test
  void tasksWithCheckpointsMoveAndOthersRunToTheirEnd() {
    addExecutor("x1", "a");
    submit("plain", tasks(2));
    submit("saving", checkpointed(2));
    List<Action.Start> first = startAll();
    addExecutor("x2", "b");
    evacuate();
    List<Action.Stop> stopped = stops();
    assertThat(stopped.stream().map(s -> s.run().task().job()).toList())
        .containsExactly("saving", "saving");
    assertThat(moved.get(0)).contains("zone a is evacuated");
    RunKey one = stopped.get(0).run();
    List<RunKey> others = keys(first).stream().filter(k -> !k.equals(one)).toList();
    end("x1", one, EndReason.STOPPED, others);
    assertThat(starts().stream().map(Action.Start::executor).toList()).containsExactly("x2");
  }

  /** A full cluster: guards against work that is stopped and then waits. */
  @Test
  void nothingIsStoppedWithoutRoomElsewhere() {
    addExecutor("x1", "a");
    submit("saving", checkpointed(2));
    submit("serving", longRunning(2, 1));
    startAll();
    addExecutor("x2", "b");
    submit("full", tasks(4));
    List<Action.Start> full = startAll();
    evacuate();
    assertThat(stops()).isEmpty();
    end("x2", full.get(0).run(), EndReason.DONE, keys(full.subList(1, 4)));
    assertThat(stops()).hasSize(1);
    assertThat(stops()).isEmpty();
  }

  /** Guards against several stops that count on the same room, over several rounds. */
  @Test
  void noMoreRunsAreStoppedThanThereIsRoomFor() {
    addExecutor("x1", "a");
    submit("saving", checkpointed(4));
    startAll();
    addExecutor("x2", "b");
    submit("filling", tasks(2));
    assertThat(startAll().stream().map(Action.Start::executor).distinct().toList())
        .containsExactly("x2");
    evacuate();
    assertThat(stops()).hasSize(2);
    assertThat(stops()).isEmpty();
  }

  /** Guards against a limit per executor that leaves a stopped task without a place. */
  @Test
  void roomElsewhereRespectsTheMaximumPerExecutor() {
    addExecutor("x1", "a");
    submit("saving", checkpointed(2).maxPerExecutor(2));
    startAll();
    submit("pair", checkpointed(2).maxPerExecutor(1));
    addExecutor("x3", "a");
    startAll();
    addExecutor("x2", "b");
    evacuate();
    List<String> jobs = stops().stream().map(s -> s.run().task().job()).toList();
    assertThat(jobs).containsExactly("saving", "saving", "pair");
    assertThat(stops()).isEmpty();
  }

  @Test
  void longRunningTasksMoveWithinTheDisruptionBudget() {
    addExecutor("x1", "a");
    submit("serving", longRunning(4, 2));
    List<Action.Start> first = startAll();
    addExecutor("x2", "b");
    evacuate();
    List<Action.Stop> stopped = stops();
    assertThat(stopped).hasSize(2);
    assertThat(stops()).isEmpty();
    List<RunKey> left = new ArrayList<>(keys(first));
    left.remove(stopped.get(0).run());
    end("x1", stopped.get(0).run(), EndReason.STOPPED, left);
    List<Action.Start> replacement = starts();
    assertThat(replacement).hasSize(1);
    // The replacement does not run yet, so the budget is still used up.
    assertThat(stops()).isEmpty();
    confirm(replacement.get(0));
    assertThat(stops()).hasSize(1);
  }

  /** Guards against an interruption that the step did not permit. */
  @Test
  void longRunningTasksWithoutABudgetStayUnlessTheySaveCheckpoints() {
    addExecutor("x1", "a");
    submit("fixed", longRunning(2, 0));
    submit("saving", longRunning(2, 0).checkpoints(true));
    startAll();
    addExecutor("x2", "b");
    evacuate();
    assertThat(stops().stream().map(s -> s.run().task().job()).toList()).containsExactly("saving");
    assertThat(stops()).isEmpty();
  }

  /** A zone that is cut off at the same time: its tasks count as not running. */
  @Test
  void tasksOfASilentExecutorUseUpTheDisruptionBudget() {
    addExecutor("x1", "a");
    submit("serving", longRunning(5, 1));
    startAll();
    addExecutor("x3", "a");
    startAll();
    addExecutor("x2", "b");
    scheduler.leaseRenewalAnswered(
        "x3",
        scheduler.leaseRenewalRequest("x3", true, now),
        now,
        new LeaseRenewalResult.Unknown("no answer"),
        now);
    evacuate();
    assertThat(stops()).isEmpty();
  }

  /** Guards against a gang of which one part is stopped and another finds no room. */
  @Test
  void gangMovesOnlyIfAllItsMembersInTheZoneFindRoom() {
    addExecutor("x1", "a");
    submit("gang", checkpointed(3).gang(true));
    startAll();
    addExecutor("x2", "b");
    submit("filling", tasks(2));
    List<Action.Start> filling = startAll();
    submit("small", checkpointed(1));
    List<Action.Start> small = startAll();
    assertThat(small).hasSize(1);
    evacuate();
    assertThat(stops().stream().noneMatch(s -> s.run().task().job().equals("gang"))).isTrue();
    end("x2", filling.get(0).run(), EndReason.DONE, List.of(filling.get(1).run()));
    end("x2", filling.get(1).run(), EndReason.DONE, List.of());
    assertThat(stops().stream().filter(s -> s.run().task().job().equals("gang")).count())
        .isEqualTo(3);
  }

  /** A takeover midway: guards against stops beyond the budget beside those of the older owner. */
  @Test
  void newOwnerStopsNothingUntilEarlierStopsAreKnown() {
    now = 10_000;
    addExecutor("x1", "a");
    submit("saving", checkpointed(2));
    startAll();
    addExecutor("x2", "b");
    evacuate();
    assertThat(stops()).isEmpty();
    now += 700;
    assertThat(stops()).hasSize(2);
  }

  /** Guards against waiting steps that nobody looks at again after the zone has returned. */
  @Test
  void waitingTasksStartInAZoneThatIsReturnedToUse() {
    addExecutor("x1", "a");
    evacuate();
    submit("j", tasks(1));
    assertThat(starts()).isEmpty();
    scheduler.updateZones(A_EVACUATED.returnToUse("a", now), now);
    assertThat(starts()).hasSize(1);
  }
}
