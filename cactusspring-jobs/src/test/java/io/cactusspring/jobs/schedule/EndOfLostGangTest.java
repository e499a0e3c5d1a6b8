package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests what the end of a gang means that the owner has taken for lost. */
final class EndOfLostGangTest extends GangFixture {
  private static final int ATTEMPTS = 3;

  EndOfLostGangTest() {
    super(ATTEMPTS);
  }

  /** Starts a gang, which is lost with its executors; the later boots carry its starts out. */
  private void loseGangThatStartsLate() {
    submit();
    assertThat(startRun()).isEqualTo(1);
    IntStream.range(0, MEMBERS).forEach(i -> crash("x" + i));
    reportAll();
    IntStream.range(0, MEMBERS)
        .forEach(i -> started("x" + i, new RunKey(new TaskId(JOB_ID, 0, 0, i), 1)));
  }

  /** Guards against a gang that starts again after the acknowledged end of one of its members. */
  @Test
  void successfulEndOfOneMemberStandsForAllThoughTheGangWasTakenForLost() {
    loseGangThatStartsLate();
    busy().forEach(e -> end(e, EndReason.DONE));
    report("x0");
    assertThat(state()).isEqualTo(JobState.COMPLETED);
    assertThat(startRun()).isEqualTo(0);
  }

  @Test
  void failuresOfSeveralMembersCountOnceThoughTheGangWasTakenForLost() {
    loseGangThatStartsLate();
    fail("x0", "x1");
    store();
    assertThat(storedFailures()).isEqualTo(1);
  }
}
