package io.cactusspring.jobs.simulation;

import static com.google.common.truth.Truth.assertThat;
import static io.cactusspring.jobs.simulation.GangFixture.BREAK_MILLIS;
import static io.cactusspring.jobs.simulation.GangFixture.MEMBERS;
import static io.cactusspring.jobs.simulation.GangFixture.WORK_MILLIS;

import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests that the simulated executors run gangs as the platform does. A simulation in which members
 * end one by one cannot show faults in what is counted for a run.
 */
final class GangRunsTest {
  private final GangFixture gang = new GangFixture(1);

  @Test
  void membersWorkOnceAllAreThereAndAreDoneTogether() {
    gang.start(0, 1, "");
    gang.start(1, 1, "");
    gang.start(2, 1, "");
    gang.run(WORK_MILLIS);
    assertThat(gang.ends()).isEmpty();
    assertThat(gang.checkpoint(0)).isEmpty();
    gang.start(3, 1, "");
    gang.run(WORK_MILLIS - 1);
    assertThat(gang.ends()).isEmpty();
    assertThat(gang.checkpoint(0)).isEqualTo(String.valueOf(WORK_MILLIS - 1));
    gang.run(1);
    assertThat(gang.ends()).isEqualTo(Collections.nCopies(MEMBERS, EndReason.DONE));
  }

  @Test
  void memberThatWaitsTooLongEndsAloneAndTheOthersAreBroken() {
    gang.start(0, 1, "");
    gang.run(GangRuns.TIMEOUT_MILLIS - 10);
    gang.start(1, 1, "");
    gang.run(9);
    assertThat(gang.ends()).isEmpty();
    gang.run(1);
    assertThat(gang.ends()).containsExactly(EndReason.ALONE);
    gang.run(BREAK_MILLIS);
    assertThat(gang.ends()).containsExactly(EndReason.ALONE, EndReason.BROKEN).inOrder();
  }

  @Test
  void othersAreBrokenWhenAMemberIsStopped() {
    gang.startAll(1);
    gang.stop(2, 1);
    gang.run(100 + BREAK_MILLIS);
    assertThat(gang.ends())
        .containsExactly(EndReason.BROKEN, EndReason.BROKEN, EndReason.STOPPED, EndReason.BROKEN)
        .inOrder();
  }

  @Test
  void othersAreBrokenWhenAnExecutorCrashes() {
    gang.startAll(1);
    gang.executors.get(1).crash();
    gang.run(BREAK_MILLIS);
    gang.executors.get(1).boot();
    assertThat(gang.ends()).isEqualTo(Collections.nCopies(MEMBERS - 1, EndReason.BROKEN));
  }

  @Test
  void executorThatFailsAllFailsItsMemberAndNoMemberIsDone() {
    gang.executors.get(3).failsTasks(true);
    gang.startAll(1);
    gang.run(WORK_MILLIS + BREAK_MILLIS);
    assertThat(gang.ends()).hasSize(MEMBERS);
    assertThat(gang.ends()).contains(EndReason.FAILED);
    assertThat(gang.ends()).doesNotContain(EndReason.DONE);
  }

  @Test
  void severalMembersFailInSomeRunsAndOneInOthers() {
    Set<Integer> failedMembers = new HashSet<>();
    for (long seed = 1; seed <= 30; seed++) {
      GangFixture one = new GangFixture(seed);
      one.failing.add(1);
      one.startAll(1);
      one.run(WORK_MILLIS + BREAK_MILLIS);
      List<EndReason> ends = one.ends();
      assertThat(ends).hasSize(MEMBERS);
      failedMembers.add(Collections.frequency(ends, EndReason.FAILED));
    }
    assertThat(failedMembers).containsAtLeast(1, 2, 3);
  }

  @Test
  void memberThatIsStartedAfterTheEndOfAnotherIsBroken() {
    gang.start(0, 1, "");
    gang.stop(0, 1);
    gang.run(200);
    gang.start(1, 1, "");
    gang.run(BREAK_MILLIS);
    assertThat(gang.ends()).containsExactly(EndReason.STOPPED, EndReason.BROKEN).inOrder();
  }

  @Test
  void runGoesOnFromTheCheckpointOfAnyMember() {
    gang.startAll(1);
    gang.run(600);
    String checkpoint = gang.checkpoint(2);
    gang.stop(0, 1);
    gang.run(100 + BREAK_MILLIS);
    for (int i = 0; i < MEMBERS; i++) {
      gang.report(i, 1);
      gang.start(i, 2, checkpoint);
    }
    gang.run(WORK_MILLIS - 600 - 1);
    assertThat(gang.ends()).isEmpty();
    gang.run(1);
    assertThat(gang.ends()).isEqualTo(Collections.nCopies(MEMBERS, EndReason.DONE));
    assertThat(gang.simulation.oracle().violations()).isEmpty();
  }
}
