package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that of each run of a gang one crash counts, whichever members' executors crash. */
final class GangCrashesTest {
  private static final String JOB = "j1";

  private final GangFleet fleet = new GangFleet(GangFleet.MEMBERS + 2);

  @BeforeEach
  void startFirstRun() {
    fleet.submit(GangFleet.gangs(JOB, 1));
    assertThat(startRun()).isEqualTo(1);
  }

  /** Starts the next run; returns its number, or 0 if none starts. */
  private int startRun() {
    return fleet.startRun().stream().mapToInt(StartRequest::run).findFirst().orElse(0);
  }

  private int storedCrashes() {
    StepProgress step = fleet.stored(JOB);
    return step.tasks().stream().mapToInt(t -> t.crashes() + t.otherCrashes()).sum();
  }

  /** Lets the executor of a member crash; the next report shows that. */
  private void crash(int member) {
    String executor = fleet.executorOf(member);
    fleet.crash(executor);
    fleet.report(executor);
  }

  /** Cuts the executor of a member off until its lease has lapsed; returns the executor. */
  private String cutOff(int member) {
    String executor = fleet.executorOf(member);
    fleet.cutOff(executor);
    fleet.run(8_000);
    fleet.end(executor, EndReason.LAPSED, "");
    return executor;
  }

  private void reconnect(String executor) {
    fleet.reconnect(executor);
    fleet.report(executor);
  }

  @Test
  void crashesOfOneRunCountOnceUnderOneOwner() {
    crash(0);
    crash(1);
    assertThat(storedCrashes()).isEqualTo(1);
  }

  /** Guards against a gang that is given up after two runs, of each of which two members crash. */
  @Test
  void crashesOfOneRunUnderTwoOwnersCountOnce() {
    for (int run = 1; run <= 2; run++) {
      crash(0);
      fleet.store();
      fleet.takeOver();
      crash(1);
      assertThat(storedCrashes()).isEqualTo(run);
      assertThat(startRun()).isEqualTo(run + 1);
    }
  }

  /** Guards against a restored run that is taken as counted because an earlier one was. */
  @Test
  void crashOfARunThatWasActiveAtTheTakeoverCounts() {
    crash(0);
    assertThat(startRun()).isEqualTo(2);
    fleet.takeOver();
    crash(0);
    assertThat(storedCrashes()).isEqualTo(2);
  }

  /** Guards against a gang that starts without bound, because none of its crashes counts. */
  @Test
  void gangIsGivenUpAfterThreeCrashesOfWhichItIsTheLikelyCause() {
    for (int run = 1; run <= 3; run++) {
      assertThat(fleet.runOn(fleet.executorOf(0))).isEqualTo(run);
      crash(0);
      crash(1);
      fleet.store();
      fleet.takeOver();
      startRun();
    }
    assertThat(fleet.entry(JOB).state()).isEqualTo(JobState.FAILED);
  }

  /**
   * Guards against a gang that is given up for a start that was never carried out: a new owner
   * takes each stored run for one that ran.
   */
  @Test
  void crashUnderAStartThatNoOwnerSawCarriedOutIsNoneThatTheGangCaused() {
    for (int run = 1; run <= 2; run++) {
      crash(0);
      assertThat(startRun()).isEqualTo(run + 1);
    }
    fleet.store();
    fleet.crash(fleet.executorOf(0));
    fleet.takeOver();
    fleet.store();
    assertThat(fleet.entry(JOB).state()).isEqualTo(JobState.RUNNING);
  }

  @Test
  void crashThatWasNoneIsTakenBack() {
    String executor = cutOff(0);
    assertThat(storedCrashes()).isEqualTo(1);
    reconnect(executor);
    assertThat(storedCrashes()).isEqualTo(0);
  }

  /** Guards against a run without a crash although two executors were lost and one returned. */
  @Test
  void anotherCrashOfTheRunCountsInsteadOfOneThatIsTakenBack() {
    String first = fleet.executorOf(0);
    String second = fleet.executorOf(1);
    fleet.cutOff(first);
    // The stop of the second member is held up, so that it runs until its executor crashes.
    fleet.cutOff(second);
    fleet.run(8_000);
    fleet.crash(second);
    reconnect(second);
    assertThat(storedCrashes()).isEqualTo(1);
    reconnect(first);
    assertThat(storedCrashes()).isEqualTo(1);
  }

  /** Guards against a later run that counts anew because a crash of an earlier one was none. */
  @Test
  void laterRunDoesNotCountAgainWhenACrashOfAnEarlierOneIsTakenBack() {
    String first = cutOff(0);
    assertThat(fleet.runOn(fleet.executorOf(0))).isEqualTo(2);
    crash(0);
    assertThat(storedCrashes()).isEqualTo(2);
    reconnect(first);
    assertThat(storedCrashes()).isEqualTo(1);
    crash(1);
    assertThat(storedCrashes()).isEqualTo(1);
  }

  /** Guards against a run that counts no more after its only crash was taken back. */
  @Test
  void crashAfterTheOnlyOneWasTakenBackCounts() {
    String first = fleet.executorOf(0);
    String second = fleet.executorOf(1);
    fleet.cutOff(first);
    fleet.run(5_000);
    // The stop of the second member is held up, so that it still belongs to the first run.
    fleet.cutOff(second);
    fleet.run(3_000);
    assertThat(storedCrashes()).isEqualTo(1);
    reconnect(first);
    assertThat(storedCrashes()).isEqualTo(0);
    fleet.crash(second);
    reconnect(second);
    assertThat(storedCrashes()).isEqualTo(1);
  }

  /** Guards against counts that are lost when the earlier version has stored them by member. */
  @Test
  void countsThatAreStoredByMemberAreAddedUp() {
    List<TaskProgress> members =
        IntStream.range(0, GangFleet.MEMBERS)
            .mapToObj(i -> new TaskProgress(false, 3, 0, "", 0, "", i < 2 ? 1 : 0, 0, 0))
            .toList();
    fleet.store();
    fleet.replaceStored(JOB, new StepProgress(0, 0, false, members));
    fleet.takeOver();
    assertThat(startRun()).isEqualTo(4);
    StepProgress stored = fleet.stored(JOB);
    assertThat(stored.tasks().stream().map(TaskProgress::crashes).toList())
        .containsExactly(2, 0, 0, 0)
        .inOrder();
    crash(0);
    assertThat(fleet.entry(JOB).state()).isEqualTo(JobState.RUNNING);
    fleet.store();
    assertThat(fleet.entry(JOB).state()).isEqualTo(JobState.FAILED);
  }

  /** Guards against counts that an earlier version, which adds up the members, reads twice. */
  @Test
  void countsOfTheGangAreStoredOnce() {
    crash(1);
    fleet.store();
    fleet.takeOver();
    startRun();
    crash(2);
    List<Integer> crashes =
        fleet.stored(JOB).tasks().stream().map(t -> t.crashes() + t.otherCrashes()).toList();
    assertThat(crashes).containsExactly(2, 0, 0, 0).inOrder();
  }
}
