package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.AdviceSettings;
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
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the rules of the scheduler one by one: each test fails if its rule is removed. */
final class JobSchedulerTest {
  private static final Resources CAPACITY = new Resources(4_000, 4_000, 0);
  private static final Resources TASK = new Resources(1_000, 1_000, 0);
  private static final long BOOT = 77;
  private static final int MAX_CHANGES = 100;

  private final Map<String, JobEntry> ledger = new LinkedHashMap<>();
  private DecisionListener listener = (kind, job, subject, reason) -> {};
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
            (kind, job, subject, reason) -> listener.decisionMade(kind, job, subject, reason),
            now,
            now);
    scheduler.configure(configuration(new Resources(0, 0, 0)));
  }

  private static SiteConfiguration configuration(Resources limit) {
    return new SiteConfiguration(
        1, List.of(queue(null)), List.of(), List.of(new Organisation("team", Set.of(), 1, limit)));
  }

  private static Queue queue(AdviceSettings advice) {
    String name = advice == null ? "quick" : "advised";
    return new Queue(name, "host", "/q/", "svc", 0, 2, 1.5, 250, advice, false);
  }

  private static ExecutorInfo info(String id, String service, boolean draining) {
    return new ExecutorInfo(
        id, id + ":80", service, "z", draining, -1, CAPACITY, Set.of("fast"), BOOT);
  }

  private void addExecutor(ExecutorInfo info) {
    scheduler.executorListed(info, now);
    report(info.id(), List.of(), List.of());
  }

  private void addExecutor(String id) {
    addExecutor(info(id, "svc", false));
  }

  private void report(String id, List<ActiveRun> running, List<EndedRun> ended) {
    LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
    long sentAt = now;
    now += 10;
    scheduler.leaseRenewalAnswered(
        id, request, sentAt, new LeaseRenewalResult.Report(now, BOOT, running, ended), now);
  }

  private void submit(String id, Queue queue, StepSpec... steps) {
    JobSpec spec = new JobSpec(id, queue, "team", "p", List.of(steps), 0, 0, 0, now);
    ledger.put(id, JobEntry.submitted(spec));
    scheduler.submitted(ledger.get(id), now, now);
  }

  private static StepSpec.Builder tasks(int count) {
    return StepSpec.builder().tasks(count).resources(TASK).estimateMillis(500);
  }

  private JobScheduler.Changes changes() {
    return scheduler.takeChanges(MAX_CHANGES, job -> true);
  }

  private List<Action.Start> starts() {
    return scheduler.decide(millis -> true, now, now).stream()
        .filter(a -> a instanceof Action.Start)
        .map(a -> (Action.Start) a)
        .toList();
  }

  private void confirm(Action.Start start) {
    Optional<StartRequest> request = scheduler.startRequest(start.executor(), start.run(), now);
    assertThat(request).isPresent();
    scheduler.startAnswered(start.executor(), start.run(), new CommandResult.Done(now), now);
    now += 10;
  }

  private void end(Action.Start start, long number, EndReason reason, Action.Start... others) {
    TaskId task = start.run().task();
    report(
        start.executor(),
        Arrays.stream(others)
            .map(o -> new ActiveRun(o.run().task(), o.run().number(), "", 50, 0))
            .toList(),
        List.of(new EndedRun(number, task, start.run().number(), reason, "")));
  }

  @Test
  void executorIsNeverAllocatedBeyondItsCapacity() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(9).build());
    assertThat(starts()).hasSize(4);
  }

  @Test
  void executorOfAnotherServiceGetsNoTasks() {
    addExecutor(info("x1", "other", false));
    submit("j1", queue(null), tasks(1).build());
    assertThat(starts()).isEmpty();
  }

  @Test
  void drainingExecutorGetsNoTasks() {
    addExecutor(info("x1", "svc", true));
    submit("j1", queue(null), tasks(1).build());
    assertThat(starts()).isEmpty();
  }

  @Test
  void executorWithoutTheRequiredLabelGetsNoTasks() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(1).requiredLabel("gpu").build());
    submit("j2", queue(null), tasks(1).requiredLabel("fast").build());
    assertThat(starts()).hasSize(1);
  }

  @Test
  void executorGetsNoMoreTasksOfAStepThanItsMaximum() {
    addExecutor("x1");
    addExecutor("x2");
    submit("j1", queue(null), tasks(4).maxPerExecutor(1).build());
    assertThat(starts().stream().map(Action.Start::executor).toList()).containsExactly("x1", "x2");
  }

  @Test
  void laterStepWaitsForAllTasksOfTheEarlierOne() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(2).build(), tasks(1).after(List.of(0)).build());
    List<Action.Start> first = starts();
    assertThat(first).hasSize(2);
    first.forEach(this::confirm);
    end(first.get(0), 1, EndReason.DONE, first.get(1));
    assertThat(starts()).isEmpty();
    end(first.get(1), 2, EndReason.DONE);
    assertThat(starts()).hasSize(1);
  }

  @Test
  void limitOfAnOrganisationIsEnforced() {
    scheduler.configure(configuration(new Resources(2_000, 0, 0)));
    addExecutor("x1");
    submit("j1", queue(null), tasks(4).build());
    assertThat(starts()).hasSize(2);
  }

  @Test
  void unansweredStartIsRetriedOnTheSameExecutorAndNoOther() {
    addExecutor("x1");
    addExecutor("x2");
    submit("j1", queue(null), tasks(1).build());
    Action.Start start = starts().get(0);
    assertThat(scheduler.startRequest(start.executor(), start.run(), now)).isPresent();
    CommandResult lost = new CommandResult.Unknown("no answer");
    scheduler.startAnswered(start.executor(), start.run(), lost, now);
    now += 100;
    assertThat(starts()).isEmpty();
    now += 200;
    List<Action.Start> again = starts();
    assertThat(again).hasSize(1);
    assertThat(again.get(0)).isEqualTo(start);
  }

  /**
   * If the availability zone of an executor is cut off, tasks that are placed there cannot be
   * restarted elsewhere until the lease has lapsed.
   */
  @Test
  void executorWithAnOverdueStartGetsNoMoreTasksUntilItAnswers() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(1).build());
    Action.Start start = starts().get(0);
    assertThat(scheduler.startRequest(start.executor(), start.run(), now)).isPresent();
    now += 200;
    assertThat(starts()).isEmpty();
    submit("j2", queue(null), tasks(1).build());
    assertThat(starts()).isEmpty();
    ActiveRun listed = new ActiveRun(start.run().task(), start.run().number(), "", 10, 0);
    report("x1", List.of(listed), List.of());
    scheduler.decide(millis -> true, now, now);
    assertThat(changes().jobs()).containsKey("j2");
  }

  @Test
  void refusedStartIsRetriedOnAnotherExecutorWithAHigherRunNumber() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(1).build());
    Action.Start start = starts().get(0);
    assertThat(scheduler.startRequest(start.executor(), start.run(), now)).isPresent();
    CommandResult refused = new CommandResult.Refused(Refusal.UNHEALTHY);
    scheduler.startAnswered(start.executor(), start.run(), refused, now);
    assertThat(starts()).isEmpty();
    addExecutor("x2");
    Action.Start second = starts().get(0);
    assertThat(second.executor()).isEqualTo("x2");
    assertThat(second.run().number()).isEqualTo(2);
  }

  @Test
  void jobFailsAfterItsLastAttemptAndStartsNoMoreRuns() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(1).build());
    for (int n = 1; n <= 2; n++) {
      Action.Start start = starts().get(0);
      confirm(start);
      end(start, n, EndReason.FAILED);
    }
    assertThat(starts()).isEmpty();
    assertThat(changes().jobs().get("j1").state().isFinal()).isTrue();
  }

  @Test
  void leaseOfASilentExecutorIsNotExtended() {
    addExecutor("x1");
    scheduler.leaseRenewalAnswered(
        "x1",
        scheduler.leaseRenewalRequest("x1", true, now),
        now,
        new LeaseRenewalResult.Unknown("silent"),
        now);
    assertThat(scheduler.leaseRenewalRequest("x1", true, now).leaseEndMillis()).isEqualTo(0);
  }

  @Test
  void leaseRenewalWaitsUntilReceivedEndsAreStored() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(2).build());
    List<Action.Start> first = starts();
    first.forEach(this::confirm);
    end(first.get(0), 1, EndReason.DONE, first.get(1));
    assertThat(scheduler.executorsToRenew(now)).isEmpty();
    scheduler.endsStored(changes().ends(), now);
    assertThat(scheduler.executorsToRenew(now)).containsExactly("x1");
  }

  @Test
  void endIsAcknowledgedOnlyOnceItIsStored() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(2).build());
    List<Action.Start> first = starts();
    first.forEach(this::confirm);
    end(first.get(0), 1, EndReason.DONE, first.get(1));
    assertThat(scheduler.leaseRenewalRequest("x1", true, now).acknowledgedEnd()).isEqualTo(0);
    scheduler.endsStored(changes().ends(), now);
    assertThat(scheduler.leaseRenewalRequest("x1", true, now).acknowledgedEnd()).isEqualTo(1);
  }

  /**
   * Guards against ends that an executor lists for ever: an acknowledgement for its earlier boot
   * was counted for the next one, which numbers its ends anew.
   */
  @Test
  void acknowledgementThatALaterBootAnswersDoesNotCountForItsEnds() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(2).build());
    List<Action.Start> first = starts();
    first.forEach(this::confirm);
    end(first.get(0), 1, EndReason.DONE, first.get(1));
    scheduler.endsStored(changes().ends(), now);
    LeaseRenewalRequest toEarlierBoot = scheduler.leaseRenewalRequest("x1", true, now);
    assertThat(toEarlierBoot.acknowledgedEnd()).isEqualTo(1);
    LeaseRenewalResult laterBoot = new LeaseRenewalResult.Report(5, BOOT + 1, List.of(), List.of());
    scheduler.leaseRenewalAnswered("x1", toEarlierBoot, now, laterBoot, now + 10);

    EndedRun end = new EndedRun(1, first.get(1).run().task(), 1, EndReason.LAPSED, "");
    LeaseRenewalRequest next = scheduler.leaseRenewalRequest("x1", true, now + 10);
    LeaseRenewalResult withEnd =
        new LeaseRenewalResult.Report(15, BOOT + 1, List.of(), List.of(end));
    scheduler.leaseRenewalAnswered("x1", next, now + 10, withEnd, now + 20);
    scheduler.endsStored(changes().ends(), now);
    assertThat(scheduler.leaseRenewalRequest("x1", true, now + 20).acknowledgedEnd()).isEqualTo(1);
  }

  /** Guards against a job whose placement fails ending every owner's term. */
  @Test
  void jobThatCannotBePlacedIsSetAsideAndOthersStart() {
    addExecutor("x1");
    List<String> setAside = failOn(Kind.RUN_DECIDED, "odd");
    submit("odd", queue(null), tasks(2).build());
    submit("j1", queue(null), tasks(4).build());
    List<StartRequest> sent =
        starts().stream()
            .flatMap(s -> scheduler.startRequest(s.executor(), s.run(), now).stream())
            .toList();
    assertThat(sent.stream().map(s -> s.task().job()).toList())
        .containsExactly("j1", "j1", "j1", "j1");
    assertThat(starts()).isEmpty();
    assertThat(setAside).containsExactly("JOB_SET_ASIDE odd");
  }

  /** Guards against a job whose start fails taking its executor out of use. */
  @Test
  void jobWhoseStartCannotBePreparedIsSetAsideAndItsExecutorGoesOn() {
    addExecutor("x1");
    submit("odd", queue(null), tasks(1).build());
    Action.Start odd = starts().get(0);
    List<String> setAside = failOn(Kind.RUN_LOST, "odd");
    scheduler.executorListed(info("x1", "svc", true), now);
    assertThat(scheduler.startRequest("x1", odd.run(), now)).isEqualTo(Optional.empty());
    scheduler.executorListed(info("x1", "svc", false), now);
    submit("j1", queue(null), tasks(1).build());
    assertThat(starts()).hasSize(1);
    assertThat(setAside).containsExactly("JOB_SET_ASIDE odd");
  }

  /** Guards against a job whose end fails taking its executor out of use. */
  @Test
  void jobWhoseEndCannotBeAppliedIsSetAsideAndItsExecutorGoesOn() {
    addExecutor("x1");
    List<String> setAside = failOn(Kind.RUN_ENDED, "odd");
    submit("odd", queue(null), tasks(1).build());
    Action.Start odd = starts().get(0);
    confirm(odd);
    submit("j1", queue(null), tasks(3).build());
    List<Action.Start> others = starts();
    others.forEach(this::confirm);
    end(odd, 1, EndReason.DONE, others.toArray(Action.Start[]::new));
    submit("j2", queue(null), tasks(1).build());
    assertThat(starts()).hasSize(1);
    assertThat(setAside).containsExactly("JOB_SET_ASIDE odd");
  }

  /** Lets the scheduler fail at a decision on a job; returns what it sets aside. */
  private List<String> failOn(Kind failing, String failingJob) {
    List<String> setAside = new ArrayList<>();
    listener =
        (kind, job, subject, reason) -> {
          if (kind == failing && job.equals(failingJob)) {
            throw new IllegalStateException("unexpected");
          }
          if (kind == Kind.JOB_SET_ASIDE || kind == Kind.EXECUTOR_SET_ASIDE) {
            setAside.add(kind + " " + job + subject);
          }
        };
    return setAside;
  }

  /** Guards against a long-running task that is taken for completed when a run ends as done. */
  @ParameterizedTest
  @EnumSource(EndReason.class)
  void longRunningTaskStartsAgainHoweverItsRunEnds(EndReason reason) {
    addExecutor("x1");
    submit("j1", queue(null), tasks(1).longRunning(true).build());
    Action.Start first = starts().get(0);
    confirm(first);
    changes();
    end(first, 1, reason);
    assertThat(changes().jobs().get("j1").state()).isEqualTo(JobState.RUNNING);
    now += 200;
    assertThat(starts().stream().map(Action.Start::run).toList())
        .containsExactly(new RunKey(first.run().task(), 2));
  }

  /** Guards against a new owner that trusts what an earlier version recorded of such a run. */
  @Test
  void longRunningTaskThatIsRecordedAsDoneStartsAgainAfterATakeover() {
    StepSpec lasting = tasks(2).longRunning(true).build();
    JobSpec spec = new JobSpec("j1", queue(null), "team", "p", List.of(lasting), 0, 0, 0, now);
    TaskProgress recorded = new TaskProgress(true, 3, 0, "", 0, "", 0, 0, 0);
    StepProgress step = new StepProgress(0, 0, false, List.of(recorded, recorded));
    LedgerSnapshot stored = new LedgerSnapshot();
    stored.applyLane(0, LedgerCodec.job(spec));
    stored.applyLane(
        0,
        LedgerCodec.progress(
            "j1", new JobProgress(8, 1, JobState.RUNNING, true, List.of(step), "", "")));
    ledger.put("j1", stored.job("j1").orElseThrow());
    takeOver();
    addExecutor("x1");
    assertThat(starts().stream().map(s -> s.run().number()).toList()).containsExactly(4, 4);
  }

  @Test
  void executorWithoutATicketGetsNoTasks() {
    addExecutor("x1");
    addExecutor("x2");
    submit("j1", queue(new AdviceSettings(10, 1, 2_000)), tasks(1).build());
    List<Action> first = scheduler.decide(millis -> true, now, now);
    assertThat(first).hasSize(1);
    Action.RequestAdvice call = (Action.RequestAdvice) first.get(0);
    scheduler.adviceAnswered(call.step(), call.executors(), Map.of("x2", "ticket"), now, now);
    assertThat(starts().stream().map(Action.Start::executor).toList()).containsExactly("x2");
  }

  /** Guards against advice lines that do not tell a lack of callers from denied tickets. */
  @Test
  void lineOfAnAdviceCallNamesTheCallers() {
    List<String> reasons = new ArrayList<>();
    listener = (kind, job, subject, reason) -> reasons.add(kind + ": " + reason);
    AdviceSlots slots =
        new AdviceSlots() {
          @Override
          public boolean reserve(double callMillis) {
            return true;
          }

          @Override
          public Usage usage() {
            return new Usage(2, 6, 1);
          }
        };
    addExecutor("x1");
    submit("j1", queue(new AdviceSettings(10, 1, 2_000)), tasks(1).build());
    Action.RequestAdvice call = (Action.RequestAdvice) scheduler.decide(slots, now, now).get(0);
    scheduler.adviceFailed(call.step(), "no answer", now);
    assertThat(reasons)
        .contains("ADVICE: no answer; 2 of 6 hosts can be asked, 1 calls in progress");
    scheduler.adviceAnswered(call.step(), call.executors(), Map.of(), now - 430, now);
    assertThat(reasons)
        .contains(
            "ADVICE: 0 of 1 executors allowed after 430 ms;"
                + " queue advised; 2 of 6 hosts can be asked, 1 calls in progress");
  }

  @Test
  void ticketIsNotUsedShortlyBeforeItExpires() {
    addExecutor("x1");
    submit("j1", queue(new AdviceSettings(10, 1, 2_000)), tasks(1).build());
    Action.RequestAdvice call =
        (Action.RequestAdvice) scheduler.decide(millis -> true, now, now).get(0);
    scheduler.adviceAnswered(call.step(), call.executors(), Map.of("x1", "ticket"), now, now);
    now += 1_900;
    assertThat(starts()).isEmpty();
  }

  /** A configuration that removes the queue's advice may arrive while an advice call is pending. */
  @Test
  void adviceAnswerIsAcceptedAfterTheQueueStopsNeedingAdvice() {
    addExecutor("x1");
    Queue advised = queue(new AdviceSettings(10, 1, 2_000));
    submit("j1", advised, tasks(1).build());
    Action.RequestAdvice call =
        (Action.RequestAdvice) scheduler.decide(millis -> true, now, now).get(0);
    Queue open = new Queue(advised.name(), "host", "/q/", "svc", 0, 2, 1.5, 250, null, false);
    scheduler.configure(new SiteConfiguration(2, List.of(open), List.of(), List.of()));
    scheduler.adviceAnswered(call.step(), call.executors(), Map.of("x1", "ticket"), now, now);
    assertThat(starts()).hasSize(1);
  }

  @Test
  void fillingTaskIsThrottledBesideAServingTaskOverItsTarget() {
    addExecutor("x1");
    StepSpec serving = tasks(1).longRunning(true).targetMillis(100).build();
    StepSpec filling = tasks(1).fills(true).build();
    submit("j1", queue(null), serving);
    submit("j2", queue(null), filling);
    List<Action.Start> both = starts();
    both.forEach(this::confirm);
    now += 1_000;
    List<ActiveRun> running =
        both.stream()
            .map(
                s -> {
                  long usage = s.run().task().job().equals("j1") ? 150 : 1_000;
                  return new ActiveRun(s.run().task(), 1, "", 50, usage);
                })
            .toList();
    report("x1", running, List.of());
    List<Action> actions = scheduler.decide(millis -> true, now, now);
    assertThat(actions.stream().filter(a -> a instanceof Action.Pace p && p.percent() == 0).count())
        .isEqualTo(1);
  }

  @Test
  void gangWaitsUntilAllItsTasksFit() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(5).gang(true).build());
    assertThat(starts()).isEmpty();
    assertThat(changes().jobs()).isEmpty();
    addExecutor("x2");
    List<Action.Start> together = starts();
    assertThat(together).hasSize(5);
    assertThat(together.stream().map(s -> s.run().number()).distinct().toList()).containsExactly(1);
  }

  @Test
  void runsOfACancelledJobAreStoppedAndOccupyCapacityUntilTheyAreGone() {
    addExecutor("x1");
    submit("j1", queue(null), tasks(4).build());
    starts().forEach(this::confirm);
    scheduler.cancelled("j1", now);
    submit("j2", queue(null), tasks(1).build());
    List<Action> actions = scheduler.decide(millis -> true, now, now);
    assertThat(actions.stream().filter(a -> a instanceof Action.Stop).count()).isEqualTo(4);
    assertThat(actions.stream().filter(a -> a instanceof Action.Start).count()).isEqualTo(0);
    report("x1", List.of(), List.of());
    assertThat(starts()).hasSize(1);
  }
}
