package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests what the end of a run means for its task if the owner has taken the run for lost: its start
 * got no answer, and was carried out seconds later.
 */
final class EndOfLostRunTest extends RebootedExecutorFixture {
  /** Sends a start that gets no answer, and cuts the executor off until its lease has lapsed. */
  private StartRequest loseRun() {
    beginWithExecutorThatIsUpForLong();
    submit();
    StartRequest start = sendStart();
    now += 500;
    answered(start, new CommandResult.Unknown("no answer"));
    loseRenewal();
    now += 7_000;
    decide();
    assertThat(decisions().toString()).contains("RUN_LOST j1.0.0.0#1 its lease has lapsed");
    return start;
  }

  private void carryOutLate(StartRequest start, EndReason reason) {
    carryOut(start);
    endRun(reason);
    renew();
    store();
    renew();
  }

  /** Guards against a task that starts again after its acknowledged end. */
  @Test
  void successfulEndOfARunThatWasTakenForLostCompletesItsTask() {
    carryOutLate(loseRun(), EndReason.DONE);
    assertThat(decide()).isEmpty();
    assertThat(decisions().toString()).contains("JOB_COMPLETED");
  }

  /** Guards against a second run that goes on although the task is done. */
  @Test
  void successfulEndOfARunThatWasTakenForLostStopsTheNextRun() {
    StartRequest late = loseRun();
    addOther();
    List<Action.Start> starts = decide();
    assertThat(starts).hasSize(1);
    store();
    RunKey next = starts.get(0).run();
    assertThat(owner().startRequest(OTHER, next, now)).isPresent();
    owner().startAnswered(OTHER, next, new CommandResult.Done(now), now);
    carryOutLate(late, EndReason.DONE);
    assertThat(
            owner().decide(millis -> true, now, now).stream()
                .filter(a -> a instanceof Action.Stop)
                .map(a -> ((Action.Stop) a).run()))
        .containsExactly(next);
    assertThat(decisions().toString()).contains("JOB_COMPLETED");
  }

  /** Guards against a start beyond the limit of attempts. */
  @Test
  void failureOfARunThatWasTakenForLostCounts() {
    carryOutLate(loseRun(), EndReason.FAILED);
    assertThat(decisions().toString()).contains("RUN_FAILED j1.0.0.0#1 failure 1 of 3");
  }

  /** Guards against a job that goes on after as many failures as it has attempts. */
  @Test
  void jobFailsWithTheLastAttemptThoughItsRunWasTakenForLost() {
    maxAttempts(1);
    carryOutLate(loseRun(), EndReason.FAILED);
    assertThat(decide()).isEmpty();
    assertThat(decisions().toString()).contains("JOB_FAILED j1.0.0.0");
  }

  /**
   * Guards against a start beyond the limit: the failures are read in reverse order of the runs.
   */
  @Test
  void failureOfARunThatWasTakenForLostCountsAfterTheFailureOfTheNextRun() {
    maxAttempts(2);
    StartRequest late = loseRun();
    addOther();
    RunKey next = decide().get(0).run();
    store();
    assertThat(owner().startRequest(OTHER, next, now)).isPresent();
    owner().startAnswered(OTHER, next, new CommandResult.Done(now), now);
    reportFailure(OTHER, next);
    carryOutLate(late, EndReason.FAILED);
    assertThat(decide()).isEmpty();
    assertThat(decisions().toString()).contains("JOB_FAILED j1.0.0.0");
  }

  private void reportFailure(String executor, RunKey run) {
    now += 100;
    EndedRun failed = new EndedRun(1, run.task(), run.number(), EndReason.FAILED, "");
    LeaseRenewalRequest request = owner().leaseRenewalRequest(executor, true, now);
    owner()
        .leaseRenewalAnswered(
            executor,
            request,
            now,
            new LeaseRenewalResult.Report(now, OTHER_BOOT, List.of(), List.of(failed)),
            now);
  }
}
