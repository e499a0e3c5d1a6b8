package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.FakeExecutor;
import io.cactusspring.jobs.simulation.Oracle;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the evacuation of an availability zone from the operator's record to the executors. */
final class EvacuationTest {
  private static final Resources CAPACITY = new Resources(4_000, 4_000, 0);
  private static final Resources TASK = new Resources(1_000, 1_000, 0);

  // A simulated long-running task reports progress at this rate, so that it does not seem stalled.
  private static final long SERVING_MILLIS = 200_000;

  private ClusterSimulation simulation;
  private int jobs;

  @BeforeEach
  void startThreeZones() {
    startThreeZones(Oracle.EVACUATE_MILLIS);
  }

  private void startThreeZones(long evacuateMillis) {
    simulation = new ClusterSimulation(17);
    simulation.evacuateMillis(evacuateMillis);
    List.of("a", "b", "c").forEach(simulation::addHost);
    for (String zone : List.of("a", "b", "c")) {
      for (int i = 0; i < 4; i++) {
        simulation.addExecutor(zone + i, zone, CAPACITY);
      }
    }
    simulation.time().run(3_000);
  }

  private Host owner() {
    return simulation.hosts().stream().filter(Host::isOwner).findFirst().orElseThrow();
  }

  private Host otherHost() {
    return simulation.hosts().stream()
        .filter(h -> !h.isOwner() && h.entry().isPresent())
        .findFirst()
        .orElseThrow();
  }

  private JobSpec submit(StepSpec.Builder step) {
    StepSpec spec = step.resources(TASK).estimateMillis(500).build();
    JobSpec job =
        new JobSpec(
            "job" + jobs++,
            ClusterSimulation.queue("quick", 0, null),
            "team",
            "payload",
            List.of(spec),
            0,
            0,
            0,
            simulation.time().now());
    simulation.submit(otherHost(), job);
    return job;
  }

  private static StepSpec.Builder tasks(int count) {
    return StepSpec.builder().tasks(count);
  }

  private List<FakeExecutor> executors(String zone) {
    return simulation.executors().stream().filter(e -> e.zone().equals(zone)).toList();
  }

  private int running(String zone) {
    return executors(zone).stream().mapToInt(e -> e.tasks().size()).sum();
  }

  private int running(JobSpec job) {
    return (int)
        simulation.executors().stream()
            .flatMap(e -> e.tasks().stream())
            .map(TaskId::job)
            .filter(job.id()::equals)
            .count();
  }

  private void assertNoViolations() {
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void evacuatedZoneGetsNoTasksUntilItIsReturned() {
    simulation.evacuate("a");
    simulation.time().run(20);
    JobSpec first = submit(tasks(48));
    simulation.time().run(400);
    assertThat(running("a")).isEqualTo(0);
    assertThat(running(first)).isEqualTo(32);
    simulation.time().run(5_000);
    simulation.returnToUse("a");
    simulation.time().run(2_000);
    submit(tasks(48));
    simulation.time().run(400);
    assertThat(running("a")).isEqualTo(16);
    assertNoViolations();
  }

  @Test
  void zoneThatStaysEvacuatedIsEmptiedAndItsWorkCompletes() {
    simulation.taskWorkMillis(id -> id.job().equals("job2") ? SERVING_MILLIS : 2_000);
    JobSpec finite = submit(tasks(12));
    JobSpec saving = submit(tasks(6).checkpoints(true));
    JobSpec serving = submit(tasks(8).longRunning(true).maxUnavailable(2));
    simulation.time().run(500);
    assertThat(running("a")).isGreaterThan(0);
    simulation.evacuate("a");
    simulation.time().run(15_000);
    assertThat(simulation.oracle().isDone(finite)).isTrue();
    assertThat(simulation.oracle().isDone(saving)).isTrue();
    assertThat(running(serving)).isEqualTo(8);
    assertThat(running("a")).isEqualTo(0);
    assertNoViolations();
  }

  /** Guards against an interruption of more long-running tasks than the step permits. */
  @Test
  void budgetHoldsWhileLongRunningTasksMove() {
    simulation.taskWorkMillis(id -> SERVING_MILLIS);
    JobSpec serving = submit(tasks(12).longRunning(true).maxUnavailable(2).maxPerExecutor(1));
    simulation.time().run(500);
    assertThat(running("a")).isEqualTo(4);
    executors("b").forEach(e -> assertThat(e.tasks()).hasSize(1));
    simulation.evacuate("a");
    for (int i = 0; i < 500; i++) {
      simulation.time().run(10);
      assertThat(running(serving)).isAtLeast(10);
    }
    // Each executor elsewhere runs one task already, so there is no room.
    assertThat(running("a")).isEqualTo(4);
    List.of("b4", "b5", "c4", "c5").forEach(id -> simulation.addExecutor(id, "b", CAPACITY));
    for (int i = 0; i < 500; i++) {
      simulation.time().run(10);
      assertThat(running(serving)).isAtLeast(10);
    }
    assertThat(running("a")).isEqualTo(0);
    assertThat(running(serving)).isEqualTo(12);
    assertNoViolations();
  }

  @Test
  void nothingIsStoppedInAFullCluster() {
    simulation.taskWorkMillis(id -> 4_000L);
    JobSpec saving = submit(tasks(48).checkpoints(true));
    simulation.time().run(500);
    assertThat(running(saving)).isEqualTo(48);
    simulation.evacuate("a");
    simulation.time().run(2_000);
    assertThat(running(saving)).isEqualTo(48);
    simulation.time().run(6_000);
    assertThat(simulation.oracle().isDone(saving)).isTrue();
    assertThat(simulation.oracle().startCount()).isEqualTo(48);
    assertNoViolations();
  }

  /** The executors of the zone answer nothing while it is evacuated. */
  @Test
  void tasksOfAZoneThatIsCutOffContinueElsewhere() {
    simulation.taskWorkMillis(id -> 3_000L);
    JobSpec job = submit(tasks(24).checkpoints(true));
    simulation.time().run(500);
    executors("a").forEach(FakeExecutor::crash);
    simulation.evacuate("a");
    simulation.time().run(18_000);
    assertThat(simulation.oracle().isDone(job)).isTrue();
    executors("a").forEach(FakeExecutor::boot);
    executors("a").forEach(simulation::announce);
    submit(tasks(48));
    simulation.time().run(1_000);
    assertThat(running("a")).isEqualTo(0);
    assertNoViolations();
  }

  /** Guards against starts by the owner after the bound, while it cannot read the record. */
  @Test
  void nothingStartsInTheZoneWhileTheStoreIsAway() {
    simulation.hosts().forEach(h -> h.storeLink().disconnected(true));
    simulation.evacuate("a");
    submit(tasks(48));
    simulation.time().run(8_000);
    assertThat(running("a")).isEqualTo(0);
    simulation.hosts().forEach(h -> h.storeLink().disconnected(false));
    simulation.time().run(3_000);
    submit(tasks(48));
    simulation.time().run(1_000);
    assertThat(running("a")).isEqualTo(0);
    assertNoViolations();
  }

  /** A new owner that was cut off from the store while the record was written. */
  @Test
  void newOwnerKnowsTheEvacuationBeforeItsFirstStart() {
    Host before = owner();
    simulation.hosts().stream()
        .filter(h -> h != before)
        .forEach(h -> h.storeLink().disconnected(true));
    simulation.time().run(1_500);
    simulation.evacuate("a");
    JobSpec waiting = submit(tasks(60));
    simulation.time().run(100);
    assertThat(running("a")).isEqualTo(0);
    before.kill();
    simulation.hosts().forEach(h -> h.storeLink().disconnected(false));
    for (int i = 0; i < 600; i++) {
      simulation.time().run(10);
      assertThat(running("a")).isEqualTo(0);
    }
    assertThat(simulation.oracle().isDone(waiting)).isTrue();
    assertNoViolations();
  }

  /**
   * Guards against a new owner that decides before it has read the records, where no bound is set.
   */
  @Test
  void newOwnerThatCannotReadTheRecordsStartsNothing() {
    startThreeZones(0);
    Host before = owner();
    simulation.hosts().stream()
        .filter(h -> h != before)
        .forEach(h -> h.storeLink().disconnected(true));
    simulation.time().run(1_500);
    simulation.evacuate("a");
    JobSpec waiting = submit(tasks(60));
    simulation.time().run(100);
    before.kill();
    simulation.operators().unreadable(true);
    simulation.hosts().forEach(h -> h.storeLink().disconnected(false));
    simulation.time().run(6_000);
    assertThat(running("a")).isEqualTo(0);
    assertThat(simulation.oracle().isDone(waiting)).isFalse();
    simulation.operators().unreadable(false);
    simulation.time().run(5_000);
    assertThat(simulation.oracle().isDone(waiting)).isTrue();
    assertNoViolations();
  }

  /**
   * The network delivers starts up to 6 s late that the owner sent before it knew of the
   * evacuation.
   */
  @Test
  void startThatIsDeliveredAfterTheBoundIsNotCarriedOut() {
    Host sender = owner();
    simulation.operators().unreadable(true);
    simulation.evacuate("a");
    simulation.time().run(200);
    sender.executorLink().delayedCallRate(1);
    submit(tasks(48));
    simulation.time().run(100);
    sender.executorLink().disconnected(true);
    simulation.time().run(10_000);
    assertThat(simulation.oracle().startCount()).isGreaterThan(0);
    assertNoViolations();
  }

  /** Runs are being moved when the owner is killed. */
  @Test
  void takeoverInTheMiddleCompletesTheEvacuationWithinTheBudget() {
    simulation.taskWorkMillis(id -> SERVING_MILLIS);
    JobSpec serving = submit(tasks(40).longRunning(true).maxUnavailable(2));
    simulation.time().run(500);
    String zone = "a";
    assertThat(running(zone)).isEqualTo(16);
    simulation.evacuate(zone);
    simulation.time().run(150);
    owner().kill();
    for (int i = 0; i < 800; i++) {
      simulation.time().run(10);
      assertThat(running(serving)).isAtLeast(38);
    }
    assertThat(running(zone)).isEqualTo(8);
    simulation.addExecutor("d0", "d", CAPACITY);
    simulation.addExecutor("d1", "d", CAPACITY);
    for (int i = 0; i < 800; i++) {
      simulation.time().run(10);
      assertThat(running(serving)).isAtLeast(38);
    }
    assertThat(running(zone)).isEqualTo(0);
    assertNoViolations();
  }

  /** Guards against an evacuation that ends or is forgotten because the topic was compacted. */
  @Test
  void zoneFollowsItsRecordAfterTheTopicWasCompacted() {
    simulation.evacuate("a");
    simulation.time().run(50);
    simulation.hosts().forEach(h -> h.storeLink().disconnected(true));
    simulation.time().run(1_000);
    simulation.returnToUse("a");
    simulation.evacuate("b");
    simulation.operators().compact();
    simulation.hosts().forEach(h -> h.storeLink().disconnected(false));
    simulation.time().run(4_000);
    submit(tasks(48));
    simulation.time().run(500);
    assertThat(running("a")).isEqualTo(16);
    assertThat(running("b")).isEqualTo(0);
    assertThat(running("c")).isEqualTo(16);
    assertNoViolations();
  }

  @Test
  void recordThatIsDeletedAndWrittenAgainAtOnceEvacuatesTheZone() {
    simulation.evacuate("a");
    simulation.time().run(200);
    simulation.returnToUse("a");
    simulation.evacuate("a");
    submit(tasks(48));
    simulation.time().run(400);
    assertThat(running("a")).isEqualTo(0);
    assertNoViolations();
  }

  /** Guards against a rush of starts when a full queue waits for the zone. */
  @Test
  void returnedZoneIsUsedAgainLittleByLittle() {
    for (int i = 4; i < 20; i++) {
      simulation.addExecutor("a" + i, "a", CAPACITY);
    }
    simulation.evacuate("a");
    simulation.time().run(300);
    simulation.taskWorkMillis(id -> 20_000L);
    submit(tasks(200));
    simulation.time().run(500);
    simulation.returnToUse("a");
    for (int tenth = 1; tenth <= 10; tenth++) {
      simulation.time().run(100);
      int used = (int) executors("a").stream().filter(e -> !e.tasks().isEmpty()).count();
      assertThat(used).isAtMost(2 * tenth);
    }
    simulation.time().run(500);
    assertThat(running("a")).isEqualTo(80);
    assertNoViolations();
  }

  /** Guards against a host that halts because one topic cannot be read, without such a bound. */
  @Test
  void ageOfTheRecordsMattersOnlyWhereABoundIsSet() {
    for (long bound : List.of(0L, Oracle.EVACUATE_MILLIS)) {
      startThreeZones(bound);
      simulation.operators().unreadable(true);
      simulation.time().run(6_000);
      JobSpec job = submit(tasks(4));
      simulation.time().run(1_000);
      assertThat(simulation.oracle().isDone(job)).isEqualTo(bound == 0);
      simulation.operators().unreadable(false);
      simulation.time().run(2_500);
      assertThat(simulation.oracle().isDone(job)).isTrue();
      assertNoViolations();
    }
  }
}
