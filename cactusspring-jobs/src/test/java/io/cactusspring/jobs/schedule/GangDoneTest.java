package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that a gang is done with the first member that is, and that the runs of the others count
 * until they are over, also under later owners.
 */
final class GangDoneTest {
  private static final int MEMBERS = GangFleet.MEMBERS;

  private final GangFleet fleet = new GangFleet(2 * MEMBERS);
  private List<String> executors;

  @BeforeEach
  void limitToOneGang() {
    fleet.limitTo(MEMBERS);
  }

  /** Starts a gang, and lets the first member be done while the others are cut off. */
  private void firstMemberIsDone(String job, int steps) {
    fleet.submit(GangFleet.gangs(job, steps));
    assertThat(fleet.startRun()).hasSize(MEMBERS);
    executors = List.of(0, 1, 2, 3).stream().map(fleet::executorOf).toList();
    executors.subList(1, MEMBERS).forEach(fleet::cutOff);
    fleet.end(executors.get(0), EndReason.DONE, "");
    fleet.report(executors.get(0));
    fleet.store();
  }

  /** Lets the members that were cut off end, and their executors answer again. */
  private void othersEnd() {
    executors.subList(1, MEMBERS).forEach(e -> fleet.end(e, EndReason.DONE, ""));
    executors.subList(1, MEMBERS).forEach(fleet::reconnect);
  }

  private long startsOf(String job) {
    return fleet.starts().stream().filter(s -> s.task().job().equals(job)).count();
  }

  @Test
  void jobIsCompletedWithTheFirstMemberThatIsDone() {
    firstMemberIsDone("j1", 1);
    assertThat(fleet.entry("j1").state()).isEqualTo(JobState.COMPLETED);
  }

  /** Guards against starts beyond the limit of an organisation after a takeover. */
  @Test
  void runsOfTheOtherMembersOfACompletedJobCountUnderLaterOwners() {
    firstMemberIsDone("j1", 1);
    fleet.submit(GangFleet.gangs("j2", 1));
    for (int owners = 0; owners < 3; owners++) {
      fleet.takeOver();
      fleet.run(500);
      assertThat(startsOf("j2")).isEqualTo(0);
    }
    othersEnd();
    fleet.run(1_000);
    assertThat(startsOf("j2")).isEqualTo(MEMBERS);
  }

  /** As above, for a job of which another step follows. */
  @Test
  void runsOfTheOtherMembersOfADoneStepCountUnderLaterOwners() {
    firstMemberIsDone("j1", 2);
    assertThat(fleet.entry("j1").state()).isEqualTo(JobState.RUNNING);
    for (int owners = 0; owners < 3; owners++) {
      fleet.takeOver();
      fleet.run(500);
      assertThat(startsOf("j1")).isEqualTo(MEMBERS);
    }
    othersEnd();
    fleet.run(1_000);
    assertThat(startsOf("j1")).isEqualTo(2 * MEMBERS);
  }

  /** Guards against a gang that starts again because the end of another member is read later. */
  @Test
  void laterEndsOfOtherMembersDoNotUndoTheGang() {
    firstMemberIsDone("j1", 2);
    fleet.takeOver();
    executors.subList(1, MEMBERS).forEach(e -> fleet.end(e, EndReason.BROKEN, ""));
    executors.subList(1, MEMBERS).forEach(fleet::reconnect);
    fleet.run(1_000);
    assertThat(fleet.starts().stream().filter(s -> s.task().step() == 0).toList()).hasSize(MEMBERS);
    assertThat(fleet.starts().stream().filter(s -> s.task().step() == 1).toList()).hasSize(MEMBERS);
  }

  /** Guards against a limit that is used up for ever by runs that are over. */
  @Test
  void runsOfTheOtherMembersCountNoMoreOnceTheirLeasesHaveLapsed() {
    firstMemberIsDone("j1", 1);
    fleet.submit(GangFleet.gangs("j2", 1));
    fleet.takeOver();
    // An inherited lease lapses after the grace of the store and the lease, about 11 s.
    fleet.run(12_000);
    assertThat(startsOf("j2")).isEqualTo(MEMBERS);
  }
}
