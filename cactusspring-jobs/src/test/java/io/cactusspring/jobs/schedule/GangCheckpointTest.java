package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests that the members of a gang share the latest checkpoint that any of them has reported. */
final class GangCheckpointTest {
  private static final String JOB = "j1";

  private final GangFleet fleet = new GangFleet(GangFleet.MEMBERS);

  private void startFirstRun() {
    fleet.submit(GangFleet.gangs(JOB, 1));
    assertThat(fleet.startRun()).hasSize(GangFleet.MEMBERS);
  }

  /** Lets a member list a checkpoint and report it. */
  private void report(int member, String checkpoint) {
    String executor = fleet.executorOf(member);
    fleet.checkpoint(executor, checkpoint);
    fleet.report(executor);
  }

  private List<String> checkpointsOfNextRun() {
    return fleet.startRun().stream().map(StartRequest::checkpoint).toList();
  }

  private static List<String> fourTimes(String checkpoint) {
    return List.of(checkpoint, checkpoint, checkpoint, checkpoint);
  }

  /** Guards against a run that repeats work because a member's older value comes first. */
  @Test
  void nextRunResumesFromTheValueThatAnyMemberReportedLast() {
    startFirstRun();
    report(0, "c1");
    report(1, "c2");
    fleet.end(fleet.executorOf(2), EndReason.FAILED, "");
    assertThat(checkpointsOfNextRun()).isEqualTo(fourTimes("c2"));
  }

  /** Guards against a value of a member that reports late, or ends with what it saved before. */
  @Test
  void olderValueOfAnotherMemberDoesNotReplaceALaterOne() {
    startFirstRun();
    report(1, "c1");
    report(0, "c1");
    report(0, "c2");
    report(1, "c1");
    fleet.end(fleet.executorOf(3), EndReason.BROKEN, "c1");
    assertThat(checkpointsOfNextRun()).isEqualTo(fourTimes("c2"));
  }

  /** Guards against a value of an earlier owner's record that hides what members report later. */
  @Test
  void valueThatIsReportedAfterATakeoverReplacesTheStoredOne() {
    startFirstRun();
    report(0, "c1");
    String lost = fleet.executorOf(0);
    fleet.crash(lost);
    fleet.report(lost);
    fleet.store();
    fleet.takeOver();
    report(1, "c2");
    assertThat(checkpointsOfNextRun()).isEqualTo(fourTimes("c2"));
  }

  /** Guards against a value that only the record of one member holds. */
  @Test
  void valueOfTheGangIsStoredForEachMember() {
    startFirstRun();
    report(2, "c1");
    report(1, "c2");
    fleet.end(fleet.executorOf(0), EndReason.FAILED, "");
    fleet.run(100);
    assertThat(fleet.stored(JOB).tasks().stream().map(TaskProgress::checkpoint).toList())
        .isEqualTo(fourTimes("c2"));
  }

  /**
   * Guards against starts of one run with different values: a start has no answer and is sent
   * again, after the first one was carried out late and the gang has saved its progress.
   */
  @Test
  void startThatIsSentAgainCarriesTheValueOfItsRun() {
    fleet.submit(GangFleet.gangs(JOB, 1));
    fleet.cutOff("x3");
    List<StartRequest> first = fleet.decide();
    fleet.reconnect("x3");
    assertThat(first).hasSize(GangFleet.MEMBERS);
    assertThat(first.stream().map(StartRequest::checkpoint).distinct().toList())
        .containsExactly("");

    fleet.advance(100);
    Action.Start again =
        fleet.owner().decide(millis -> true, fleet.now(), fleet.now()).stream()
            .filter(Action.Start.class::isInstance)
            .map(Action.Start.class::cast)
            .findFirst()
            .orElseThrow();
    assertThat(again.executor()).isEqualTo("x3");
    first.stream()
        .filter(s -> s.task().equals(again.run().task()))
        .forEach(s -> fleet.carryOut("x3", s));
    for (String executor : List.of("x0", "x1", "x2", "x3")) {
      fleet.checkpoint(executor, "c1");
      fleet.report(executor);
    }
    Optional<StartRequest> request = fleet.owner().startRequest("x3", again.run(), fleet.now());
    assertThat(request.map(StartRequest::checkpoint)).hasValue("");
  }
}
