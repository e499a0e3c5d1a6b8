package io.cactusspring.core.placement;

import static com.google.common.truth.Truth.assertThat;
import static io.cactusspring.core.placement.Fixtures.gang;
import static io.cactusspring.core.placement.Fixtures.replicas;
import static io.cactusspring.core.placement.Fixtures.run;
import static io.cactusspring.core.placement.Fixtures.size;
import static io.cactusspring.core.placement.Fixtures.spec;
import static io.cactusspring.core.placement.Fixtures.urgent;
import static io.cactusspring.core.placement.Fixtures.worker;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PlacerTest {
  private static final int BUDGET = 1_000;

  private final Placer placer = new Placer(PlacementPolicy.builder().build());

  private List<Decision> decide(long nowMillis) {
    return placer.decide(nowMillis, 1_000, t -> BUDGET);
  }

  private List<String> placedWorkloads(long nowMillis) {
    return decide(nowMillis).stream()
        .filter(Decision.Place.class::isInstance)
        .map(Decision.Place.class::cast)
        .map(p -> p.run().run().workload())
        .toList();
  }

  private static TaskId task(String workload) {
    return new TaskId(new RunId(workload, 0), 1);
  }

  @Test
  void runIsPlacedOnTheWorkerThatItFillsBest() {
    placer.putWorker(worker("big", 16));
    placer.putWorker(worker("small", 4));
    placer.enqueue(run("b1", "a", 4), 0);
    assertThat(decide(0)).containsExactly(new Decision.Place(run("b1", "a", 4), "small"));
  }

  @Test
  void runWithoutAcceleratorsAvoidsAcceleratorWorkers() {
    placer.putWorker(worker("gpu", "r1", new Resources(8_000, 8_192, 2)));
    placer.putWorker(worker("plain", 64));
    placer.enqueue(run("b1", "a", 4), 0);
    TaskSpec spec = TaskSpec.builder(new Resources(1_000, 1_024, 1)).build();
    placer.enqueue(run("b2", "a", spec), 0);
    assertThat(decide(0))
        .containsExactly(
            new Decision.Place(run("b1", "a", 4), "plain"),
            new Decision.Place(run("b2", "a", spec), "gpu"));
  }

  @Test
  void teamsShareAFullShardByWeight() {
    placer.setTeams(Map.of("a", 3, "b", 1));
    placer.putWorker(worker("w", 16));
    IntStream.range(0, 40).forEach(i -> placer.enqueue(run("a" + i, "a", 1), 0));
    IntStream.range(0, 40).forEach(i -> placer.enqueue(run("b" + i, "b", 1), 0));
    decide(0);
    assertThat(placer.running("a")).isEqualTo(12);
    assertThat(placer.running("b")).isEqualTo(4);
  }

  @Test
  void budgetIsNeverExceeded() {
    placer.putWorker(worker("w", 16));
    IntStream.range(0, 10).forEach(i -> placer.enqueue(run("a" + i, "a", 1), 0));
    placer.decide(0, 100, t -> 3);
    assertThat(placer.running("a")).isEqualTo(3);
    assertThat(placer.waitReason(new RunId("a5", 0))).hasValue(WaitReason.TEAM_LIMIT);
  }

  @Test
  void infeasibleRunIsReportedAtOnceAndDoesNotBlockOthers() {
    placer.putWorker(worker("w", 4));
    placer.enqueue(run("huge", "a", 5), 0);
    placer.enqueue(run("small", "a", 1), 0);
    List<Decision> decisions = decide(0);
    assertThat(decisions.getFirst()).isEqualTo(new Decision.Infeasible(run("huge", "a", 5)));
    assertThat(decisions).hasSize(2);
  }

  @Test
  void nothingIsInfeasibleWhileNoWorkerIsKnown() {
    placer.enqueue(run("huge", "a", 5), 0);
    assertThat(decide(0)).isEmpty();
    assertThat(placer.waitReason(new RunId("huge", 0))).hasValue(WaitReason.NO_WORKER);
  }

  @Test
  void gangTooLargeForAllWorkersIsInfeasible() {
    placer.putWorker(worker("w1", 4));
    placer.putWorker(worker("w2", 4));
    gang("g", "a", 3, 3).forEach(m -> placer.enqueue(m, 0));
    assertThat(decide(0)).hasSize(3);
    assertThat(placer.waitingRuns()).isEqualTo(0);
  }

  @Test
  void gangStartsCompletelyOrNotAtAll() {
    placer.putWorker(worker("w1", 4));
    placer.putWorker(worker("w2", 4));
    placer.enqueue(run("b1", "a", 3), 0);
    decide(0);
    gang("g", "a", 3, 2).forEach(m -> placer.enqueue(m, 0));
    assertThat(decide(1)).isEmpty();
    placer.release(task("b1"), ReleaseReason.SUCCEEDED, 500);
    assertThat(decide(500).getFirst()).isInstanceOf(Decision.PlaceGang.class);
  }

  @Test
  void gangWaitsUntilAllItsMembersAreQueued() {
    placer.putWorker(worker("w", 8));
    List<PendingRun> members = gang("g", "a", 1, 2);
    placer.enqueue(members.get(0), 0);
    assertThat(decide(0)).isEmpty();
    assertThat(placer.waitReason(members.get(0).run())).hasValue(WaitReason.GANG_INCOMPLETE);
    placer.enqueue(members.get(1), 0);
    assertThat(decide(0)).hasSize(1);
  }

  @Test
  void reservedGangIsNotStarvedBySmallRuns() {
    placer.putWorker(worker("w", 4));
    IntStream.range(0, 4).forEach(i -> placer.enqueue(run("s" + i, "a", 1), 0));
    decide(0);
    gang("g", "b", 2, 2).forEach(m -> placer.enqueue(m, 0));
    decide(1);
    IntStream.range(4, 8).forEach(i -> placer.enqueue(run("s" + i, "a", 1), 1));
    for (int i = 0; i < 4; i++) {
      placer.release(task("s" + i), ReleaseReason.SUCCEEDED, 100 + i);
      decide(100 + i);
    }
    assertThat(placer.running("b")).isEqualTo(2);
  }

  @Test
  void runsObservedToBeShortBackfillReservedRoom() {
    placer.putWorker(worker("w", 4));
    recordRunTimes("a", 1, 10, 10);
    recordRunTimes("l", 3, 1_000, 1_010);
    placer.enqueue(run("long", "l", 3), 20_000);
    decide(20_000);
    gang("g", "b", 2, 2).forEach(m -> placer.enqueue(m, 20_001));
    decide(20_001);
    placer.enqueue(run("quick", "a", 1), 20_002);
    assertThat(placedWorkloads(20_002)).containsExactly("quick");
  }

  @Test
  void declaredRunTimeAloneDoesNotAllowBackfill() {
    placer.putWorker(worker("w", 4));
    recordRunTimes("l", 3, 1_000, 1_010);
    placer.enqueue(run("long", "l", 3), 20_000);
    decide(20_000);
    gang("g", "b", 2, 2).forEach(m -> placer.enqueue(m, 20_001));
    decide(20_001);
    placer.enqueue(run("underdeclared", "a", spec(1).expectedMillis(1).build()), 20_002);
    assertThat(decide(20_002)).isEmpty();
  }

  private void recordRunTimes(String team, int processors, long fromMillis, long toMillis) {
    for (int i = 0; i < 10; i++) {
      String workload = "sample-" + team + i;
      placer.enqueue(run(workload, team, processors), 2_000L * i);
      decide(2_000L * i);
      long millis = i % 2 == 0 ? fromMillis : toMillis;
      placer.release(task(workload), ReleaseReason.SUCCEEDED, 2_000L * i + millis);
    }
  }

  @Test
  void checkpointableRunBackfillsReservedRoomUntilTheGangCanStart() {
    placer.putWorker(worker("w", 4));
    placer.enqueue(run("long", "l", 3), 0);
    decide(0);
    gang("g", "b", 2, 2).forEach(m -> placer.enqueue(m, 1));
    decide(1);
    placer.enqueue(run("backfill", "a", spec(1).checkpointable(true).build()), 2);
    assertThat(placedWorkloads(2)).containsExactly("backfill");
    placer.release(task("long"), ReleaseReason.SUCCEEDED, 500);
    assertThat(decide(500))
        .containsExactly(new Decision.Preempt(task("backfill"), new RunId("g", 0)));
    placer.release(task("backfill"), ReleaseReason.CHECKPOINTED, 600);
    assertThat(decide(600).getFirst()).isInstanceOf(Decision.PlaceGang.class);
  }

  @Test
  void reservationIsKeptWhenTasksRunLongerThanPlanned() {
    placer.putWorker(worker("w", 8));
    placer.enqueue(run("long", "l", 5), 0);
    placer.enqueue(run("other", "b", 1), 0);
    decide(0);
    gang("g", "b", 3, 2).forEach(m -> placer.enqueue(m, 1));
    decide(1);
    gang("h", "c", 3, 2).forEach(m -> placer.enqueue(m, 2));
    decide(20_000);
    assertThat(placer.waitReason(new RunId("g", 0))).hasValue(WaitReason.RESERVED);
  }

  @Test
  void urgentWorkTakesTheRoomOfACheckpointedTask() {
    placer.putWorker(worker("w", 4));
    TaskSpec batch = spec(2).checkpointable(true).build();
    placer.enqueue(run("b0", "a", batch), 0);
    placer.enqueue(run("b1", "a", batch), 0);
    decide(0);
    placer.enqueue(urgent("u", "b", 1), 1_000);
    List<Decision> decisions = decide(1_000);
    assertThat(decisions).hasSize(1);
    Decision.Preempt preempt = (Decision.Preempt) decisions.getFirst();
    assertThat(preempt.beneficiary()).isEqualTo(new RunId("u", 0));
    assertThat(decide(1_001)).isEmpty();
    placer.enqueue(run("other", "c", 1), 1_002);
    placer.release(preempt.victim(), ReleaseReason.CHECKPOINTED, 1_100);
    assertThat(decide(1_100)).contains(new Decision.Place(urgent("u", "b", 1), "w"));
  }

  @Test
  void runIsPreemptedAtMostOnce() {
    placer.putWorker(worker("w", 2));
    TaskSpec batch = spec(2).checkpointable(true).build();
    placer.enqueue(run("b", "a", batch), 0);
    decide(0);
    placer.enqueue(urgent("u1", "b", 1), 1_000);
    decide(1_000);
    placer.release(task("b"), ReleaseReason.CHECKPOINTED, 1_100);
    decide(1_100);
    placer.release(task("u1"), ReleaseReason.SUCCEEDED, 1_200);
    placer.enqueue(new PendingRun(new RunId("b", 0), 2, "a", batch, false, 1), 1_200);
    assertThat(placedWorkloads(1_200)).containsExactly("b");
    placer.enqueue(urgent("u2", "b", 1), 5_000);
    assertThat(decide(5_000)).isEmpty();
  }

  @Test
  void taskOfATeamWithinItsShareIsNotPreempted() {
    placer.putWorker(worker("w", 4));
    placer.enqueue(run("a", "a", spec(2).checkpointable(true).build()), 0);
    placer.enqueue(run("b", "b", 2), 0);
    decide(0);
    placer.enqueue(urgent("u", "b", 1), 1_000);
    assertThat(decide(1_000)).isEmpty();
  }

  @Test
  void replicasOfAServiceAreSpreadOverRacks() {
    for (int i = 0; i < 4; i++) {
      placer.putWorker(worker("w" + i, "r" + i % 2, size(8)));
    }
    replicas("ordering", "a", 1, 4).forEach(r -> placer.enqueue(r, 0));
    decide(0);
    assertThat(tasksInRack("r0")).isEqualTo(2);
    assertThat(tasksInRack("r1")).isEqualTo(2);
  }

  private int tasksInRack(String rack) {
    return placer.workers().stream()
        .filter(w -> w.rack().equals(rack))
        .mapToInt(WorkerView::tasks)
        .sum();
  }

  @Test
  void workerThatFailsEverythingIsQuarantinedAndProbed() {
    placer.putWorker(worker("bad", 4));
    for (int i = 0; i < 5; i++) {
      placer.enqueue(run("b" + i, "a", 1), i);
      decide(i);
      placer.release(task("b" + i), ReleaseReason.START_FAILED, i);
    }
    assertThat(placer.workers().iterator().next().state()).isEqualTo(WorkerView.State.QUARANTINED);
    placer.enqueue(run("p1", "a", 1), 10);
    placer.enqueue(run("p2", "a", 1), 10);
    assertThat(decide(5_000)).isEmpty();
    assertThat(placedWorkloads(11_000)).containsExactly("p1");
    placer.release(task("p1"), ReleaseReason.SUCCEEDED, 12_000);
    assertThat(placer.workers().iterator().next().state()).isEqualTo(WorkerView.State.READY);
  }

  @Test
  void singleFailingWorkloadDoesNotQuarantineItsWorker() {
    placer.putWorker(worker("good", 4));
    for (int attempt = 1; attempt <= 20; attempt++) {
      PendingRun run =
          new PendingRun(new RunId("broken", 0), attempt, "a", spec(1).build(), false, 1);
      placer.enqueue(run, attempt);
      assertThat(decide(attempt)).hasSize(1);
      placer.release(run.task(), ReleaseReason.FAILED, attempt);
    }
  }

  @Test
  void unreachableWorkerReceivesNothingAndKeepsItsTasks() {
    placer.putWorker(worker("w", 4));
    placer.enqueue(run("b0", "a", 1), 0);
    decide(0);
    placer.setReachable("w", false);
    placer.enqueue(run("b1", "a", 1), 0);
    assertThat(decide(1)).isEmpty();
    assertThat(placer.running("a")).isEqualTo(1);
    placer.setReachable("w", true);
    assertThat(placedWorkloads(2)).containsExactly("b1");
  }

  @Test
  void workerWithCommitmentsIsNotRemoved() {
    placer.putWorker(worker("w", 4));
    placer.enqueue(run("b0", "a", 1), 0);
    decide(0);
    assertThrows(IllegalStateException.class, () -> placer.removeWorker("w"));
    placer.release(task("b0"), ReleaseReason.STOPPED, 1);
    placer.removeWorker("w");
    assertThat(placer.workers()).isEmpty();
  }

  @Test
  void recoveredTaskCountsAgainstWorkerAndTeam() {
    placer.putWorker(worker("w", 4));
    placer.commit(new CommittedTask(task("b0"), "a", spec(3).build(), "w", false));
    placer.enqueue(run("b1", "a", 2), 0);
    assertThat(decide(0)).isEmpty();
    assertThat(placer.running("a")).isEqualTo(1);
    assertThat(placer.waitReason(new RunId("b1", 0))).hasValue(WaitReason.NO_ROOM);
  }

  @Test
  void cancelledRunIsNeverPlaced() {
    placer.putWorker(worker("w", 4));
    placer.enqueue(run("b0", "a", 1), 0);
    assertThat(placer.remove(new RunId("b0", 0))).isTrue();
    assertThat(placer.remove(new RunId("b0", 0))).isFalse();
    assertThat(decide(0)).isEmpty();
    assertThat(placer.waiting("a")).isEqualTo(0);
  }

  @Test
  void runThatRunsIsNotQueuedAgain() {
    placer.putWorker(worker("w", 4));
    placer.enqueue(run("b0", "a", 1), 0);
    decide(0);
    assertThrows(IllegalStateException.class, () -> placer.enqueue(run("b0", "a", 1), 1));
  }
}
