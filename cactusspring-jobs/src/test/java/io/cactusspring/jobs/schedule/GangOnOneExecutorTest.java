package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the attempts of a gang of which all members share an executor. */
final class GangOnOneExecutorTest {
  private static final int ATTEMPTS = 2;
  private static final int MEMBERS = 3;
  private static final String EXECUTOR = "x1";
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
                  .resources(new Resources(1_000, 100, 0))
                  .build()),
          0,
          0,
          0,
          1);

  private final JobScheduler owner =
      new JobScheduler(
          SchedulerSettings.builder().build(),
          1,
          List.of(),
          id -> Optional.of(JOB),
          (kind, job, subject, reason) -> {},
          10_000,
          10_000);
  private long now = 10_000;
  private long endNumber;

  private void report(List<EndedRun> ends) {
    LeaseRenewalRequest request = owner.leaseRenewalRequest(EXECUTOR, true, now);
    owner.leaseRenewalAnswered(
        EXECUTOR, request, now, new LeaseRenewalResult.Report(now, 77, List.of(), ends), ++now);
  }

  private List<RunKey> startRun() {
    List<RunKey> started = new ArrayList<>();
    for (Action action : owner.decide(millis -> true, now, now)) {
      if (action instanceof Action.Start start) {
        assertThat(owner.startRequest(EXECUTOR, start.run(), now)).isPresent();
        owner.startAnswered(EXECUTOR, start.run(), new CommandResult.Done(now), now);
        started.add(start.run());
      }
    }
    now += 1_000;
    return started;
  }

  private void failTogether(List<RunKey> members) {
    report(
        members.stream()
            .map(m -> new EndedRun(++endNumber, m.task(), m.number(), EndReason.FAILED, ""))
            .toList());
  }

  private Optional<JobState> storedEnd() {
    return Optional.ofNullable(owner.takeChanges(10, id -> true).jobs().get("j1"))
        .map(p -> p.state())
        .filter(JobState::isFinal);
  }

  /** Guards against a job that fails in one run, as each end of one report counts. */
  @Test
  void membersThatFailInOneReportAreOneAttempt() {
    owner.configure(
        new SiteConfiguration(
            1,
            List.of(QUEUE),
            List.of(),
            List.of(new Organisation("team", Set.of(), 1, new Resources(0, 0, 0)))));
    owner.executorListed(
        new ExecutorInfo(
            EXECUTOR, "place", "svc", "z", false, -1, new Resources(8_000, 8_000, 0), Set.of(), 77),
        now);
    report(List.of());
    owner.submitted(JobEntry.submitted(JOB), now, now);
    for (int run = 1; run <= ATTEMPTS; run++) {
      List<RunKey> members = startRun();
      assertThat(members.stream().map(RunKey::number).toList())
          .isEqualTo(Collections.nCopies(MEMBERS, run));
      failTogether(members);
      assertThat(storedEnd())
          .isEqualTo(run < ATTEMPTS ? Optional.empty() : Optional.of(JobState.FAILED));
    }
  }
}
