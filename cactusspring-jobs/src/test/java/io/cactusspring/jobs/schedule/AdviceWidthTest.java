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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how many executors a call for advice names. */
final class AdviceWidthTest {
  private static final int EXECUTORS = 40;
  private static final long WIDE = 60_000;
  private static final Resources CAPACITY = new Resources(64_000, 64_000, 0);
  private static final AdviceSettings ADVICE = new AdviceSettings(430, 6, 2_000);
  private static final Queue QUEUE =
      new Queue("advised", "host", "/q/", "svc", 0, 2, 1.5, 250, ADVICE, false);

  private final JobScheduler scheduler =
      new JobScheduler(
          SchedulerSettings.builder().build(),
          9,
          List.of(),
          id -> Optional.empty(),
          (kind, job, subject, reason) -> {},
          0,
          0);
  private long now = 10_000;

  @BeforeEach
  void addExecutors() {
    scheduler.configure(new SiteConfiguration(1, List.of(QUEUE), List.of(), List.of()));
    for (int i = 0; i < EXECUTORS; i++) {
      String id = "x" + i;
      scheduler.executorListed(
          new ExecutorInfo(id, id + ":80", "svc", "z", false, -1, CAPACITY, Set.of("fast"), 7),
          now);
      LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
      scheduler.leaseRenewalAnswered(
          id, request, now, new LeaseRenewalResult.Report(now, 7, List.of(), List.of()), now);
    }
  }

  private void submit(String job, long milliProcessors) {
    StepSpec step =
        StepSpec.builder()
            .tasks(1)
            .resources(new Resources(milliProcessors, 1, 0))
            .estimateMillis(500)
            .build();
    JobSpec spec = new JobSpec(job, QUEUE, "team", "p", List.of(step), 0, 0, 0, now);
    scheduler.submitted(JobEntry.submitted(spec), now, now);
  }

  private Action.RequestAdvice callDue(String job) {
    now += 50;
    return scheduler.decide(millis -> true, now, now).stream()
        .filter(Action.RequestAdvice.class::isInstance)
        .map(Action.RequestAdvice.class::cast)
        .filter(call -> call.step().job().equals(job))
        .findFirst()
        .orElseThrow();
  }

  private void answer(Action.RequestAdvice call, Set<String> allowed) {
    Map<String, String> tickets =
        call.executors().stream()
            .filter(allowed::contains)
            .collect(Collectors.toMap(e -> e, e -> "ticket"));
    scheduler.adviceAnswered(call.step(), call.executors(), tickets, now, now);
  }

  private void learnThatAThirdIsAllowed() {
    for (int i = 0; i < 20; i++) {
      submit("small" + i, 1);
      Action.RequestAdvice call = callDue("small" + i);
      int third = Math.ceilDiv(call.executors().size(), 3);
      answer(call, Set.copyOf(call.executors().subList(0, third)));
    }
  }

  /** Guards against a step that waits for one short list of denied executors after the other. */
  @Test
  void eachCallWithoutATicketIsFollowedByAWiderOne() {
    learnThatAThirdIsAllowed();
    submit("job", WIDE);
    int named = 0;
    int calls = 0;
    for (int last = 0; named < EXECUTORS; calls++) {
      Action.RequestAdvice call = callDue("job");
      assertThat(call.executors().size()).isAtLeast(Math.min(2 * last, EXECUTORS - named));
      last = call.executors().size();
      named += last;
      answer(call, Set.of());
    }
    assertThat(calls).isAtMost(4);
  }

  /**
   * Guards against calls that are too narrow because renewed tickets count as allowed executors.
   */
  @Test
  void renewedTicketsDoNotMakeLaterCallsNarrower() {
    submit("first", WIDE);
    String allowed = "x0";
    for (int i = 0; i < 60; i++) {
      answer(callDue("first"), Set.of(allowed));
      now += 3_000;
    }
    submit("second", WIDE);
    assertThat(callDue("second").executors().size()).isAtLeast(20);
  }
}
