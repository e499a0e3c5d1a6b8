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

/** Tests what ends the exclusion of an executor that the advice service has denied to a step. */
final class DeniedAdviceTest {
  private static final Resources CAPACITY = new Resources(4_000, 4_000, 0);
  private static final Resources TASK = new Resources(1_000, 1_000, 0);
  private static final AdviceSettings ADVICE = new AdviceSettings(400, 6, 2_000);
  private static final long FIRST_BOOT = 77;
  private static final long SECOND_BOOT = 78;

  private JobScheduler scheduler;
  private long now = 10_000;

  @BeforeEach
  void submitAStep() {
    scheduler =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            9,
            List.of(),
            id -> Optional.empty(),
            (kind, job, subject, reason) -> {},
            now,
            now);
    configure(ADVICE);
    StepSpec step = StepSpec.builder().tasks(1).resources(TASK).estimateMillis(500).build();
    JobSpec spec = new JobSpec("job", queue(ADVICE), "team", "p", List.of(step), 0, 0, 0, now);
    scheduler.submitted(JobEntry.submitted(spec), now, now);
  }

  private static Queue queue(AdviceSettings advice) {
    return new Queue("advised", "host", "/q/", "svc", 0, 2, 1.5, 250, advice, false);
  }

  private void configure(AdviceSettings advice) {
    scheduler.configure(new SiteConfiguration(1, List.of(queue(advice)), List.of(), List.of()));
  }

  private void boot(String id, long bootMillis) {
    scheduler.executorListed(
        new ExecutorInfo(
            id, id + ":80", "svc", "z", false, -1, CAPACITY, Set.of("fast"), bootMillis),
        now);
    LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
    scheduler.leaseRenewalAnswered(
        id,
        request,
        now,
        new LeaseRenewalResult.Report(now, bootMillis, List.of(), List.of()),
        now);
  }

  /** Returns the advice call that is due now, if there is one; nothing else may be decided. */
  private Optional<Action.RequestAdvice> callDue() {
    List<Action> actions = scheduler.decide(millis -> true, now, now);
    assertThat(actions.size()).isAtMost(1);
    return actions.stream().map(a -> (Action.RequestAdvice) a).findFirst();
  }

  private void answer(Action.RequestAdvice call, String... allowed) {
    Map<String, String> tickets =
        List.of(allowed).stream().collect(Collectors.toMap(e -> e, e -> "ticket"));
    scheduler.adviceAnswered(call.step(), call.executors(), tickets, now, now);
  }

  /** Guards against a denial that outlives the boot it was given for, which may differ in kind. */
  @Test
  void laterBootOfADeniedExecutorIsAskedAbout() {
    boot("x1", FIRST_BOOT);
    answer(callDue().orElseThrow());
    assertThat(callDue()).isEmpty();
    now += 100;
    boot("x1", SECOND_BOOT);
    assertThat(callDue().orElseThrow().executors()).containsExactly("x1");
  }

  /** Guards against an answer that is taken for one about a boot that was not asked about. */
  @Test
  void answerAboutAnEarlierBootDoesNotConcernTheLaterOne() {
    boot("x1", FIRST_BOOT);
    Action.RequestAdvice call = callDue().orElseThrow();
    boot("x1", SECOND_BOOT);
    answer(call, "x1");
    assertThat(callDue().orElseThrow().executors()).containsExactly("x1");
  }

  /** Returns when calls naming an executor were made that was always denied until a time. */
  private List<Long> callTimes(String denied, long until, String... allowedButBusy) {
    List<Long> times = new ArrayList<>();
    for (; now < until; now += 50) {
      callDue()
          .ifPresent(
              call -> {
                if (call.executors().contains(denied)) {
                  times.add(now);
                }
                answer(call, allowedButBusy);
              });
    }
    return times;
  }

  /** Guards against a denial that keeps a step from the only executor with room for ever. */
  @Test
  void deniedExecutorIsAskedAboutAgainAtALowRateWhileNoOtherHasRoom() {
    boot("x1", FIRST_BOOT);
    assertThat(callTimes("x1", 100_000))
        .containsExactly(10_000L, 15_000L, 25_000L, 45_000L, 65_000L, 85_000L)
        .inOrder();
    answerNextCallWith("x1");
    assertThat(startedOn()).containsExactly("x1");
  }

  private void answerNextCallWith(String allowed) {
    for (Optional<Action.RequestAdvice> call = callDue(); ; call = callDue()) {
      if (call.isPresent()) {
        answer(call.get(), allowed);
        return;
      }
      now += 50;
    }
  }

  private List<String> startedOn() {
    return scheduler.decide(millis -> true, now, now).stream()
        .map(a -> ((Action.Start) a).executor())
        .toList();
  }

  /** A second executor joins: what was denied is not asked about while others are left. */
  @Test
  void deniedExecutorIsNotAskedAboutBesideOneThatIsUnknown() {
    boot("x1", FIRST_BOOT);
    answer(callDue().orElseThrow());
    now += 30_000;
    boot("x2", FIRST_BOOT);
    assertThat(callDue().orElseThrow().executors()).containsExactly("x2");
  }

  /** Guards against denials under settings of the advice that do not hold any more. */
  @Test
  void deniedExecutorIsAskedAboutOnceTheAdviceOfTheQueueChanges() {
    boot("x1", FIRST_BOOT);
    answer(callDue().orElseThrow());
    now += 100;
    configure(ADVICE);
    assertThat(callDue()).isEmpty();
    configure(new AdviceSettings(400, 6, 3_000));
    assertThat(callDue().orElseThrow().executors()).containsExactly("x1");
  }

  /** Guards against a late step whose tickets always come after others have taken the room. */
  @Test
  void promotedStepAsksAboutExecutorsThatAreFull() {
    boot("x1", FIRST_BOOT);
    StepSpec whole = StepSpec.builder().tasks(1).resources(CAPACITY).longRunning(true).build();
    Queue open = new Queue("open", "host", "/o/", "svc", 0, 2, 1.5, 250, null, false);
    JobSpec service = new JobSpec("service", open, "team", "p", List.of(whole), 0, 0, 0, now);
    scheduler.submitted(JobEntry.submitted(service), now, now);
    assertThat(startedOn()).containsExactly("x1");
    now += AgedSteps.AGED_AFTER_MILLIS - 100;
    assertThat(callDue()).isEmpty();
    now += 200;
    assertThat(callDue().orElseThrow().executors()).containsExactly("x1");
  }
}
