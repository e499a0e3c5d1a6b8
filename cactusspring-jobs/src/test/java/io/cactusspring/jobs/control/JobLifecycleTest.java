package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.FakeExecutor;
import io.cactusspring.jobs.simulation.FakeLog;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the lifecycle of jobs across entry hosts, store and executors, with one fault at a time.
 */
final class JobLifecycleTest extends ThreeHostsFixture {
  @Test
  void stepsRunInOrderAndTheJobIsReportedAsCompleted() {
    JobSpec spec = job("j1", quick(), tasks(4).build(), tasks(2).after(List.of(0)).build());
    submit(spec);
    assertThat(state(spec)).isEqualTo(JobState.RUNNING);
    simulation.time().run(3_000);
    assertThat(state(spec)).isEqualTo(JobState.COMPLETED);
    assertThat(simulation.oracle().startCount()).isEqualTo(6);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** A caller polls the state of a job until it is completed. */
  @Test
  void everyHostReportsTheLatestStoredState() {
    submitEvery100Millis("before", 20);
    JobSpec spec = job("j1", quick(), tasks(1).build());
    submit(spec);
    simulation.time().run(20);
    for (ClusterSimulation.Host host : simulation.hosts()) {
      var answer = simulation.state(host, spec);
      simulation.time().run(20);
      assertThat(answer.result()).hasValue(JobState.RUNNING);
    }
  }

  @Test
  void exactlyOneHostOwnsTheExecutors() {
    assertThat(simulation.hosts().stream().filter(ClusterSimulation.Host::isOwner).count())
        .isEqualTo(1);
  }

  /**
   * The host that wrote the last record is killed under load; quick jobs cannot wait for a second.
   */
  @Test
  void quickJobStartsWithinASecondAfterTheOwnerIsKilled() {
    submitEvery100Millis("before", 20);
    // The task must still run when the executors are checked.
    simulation.taskWorkMillis(id -> 2_000L);
    owner().kill();
    JobSpec spec = job("j1", quick(), tasks(1).build());
    ClusterSimulation.Host up =
        simulation.hosts().stream().filter(h -> h.entry().isPresent()).findAny().get();
    simulation.submit(up, spec);
    simulation.time().run(1_000);
    assertThat(simulation.executors().stream().flatMap(e -> e.tasks().stream()).map(TaskId::job))
        .contains("j1");
  }

  @Test
  void killedOwnerIsReplacedAndItsTasksContinue() {
    simulation.taskWorkMillis(id -> 4_000L);
    JobSpec spec = job("j1", quick(), tasks(4).build());
    submit(spec);
    owner().kill();
    simulation.time().run(3_000);
    assertThat(owner().entry()).isPresent();
    simulation.time().run(3_000);
    assertThat(simulation.hosts().stream().filter(h -> h.entry().isPresent()).count()).isEqualTo(2);
    assertThat(simulation.oracle().isDone(spec)).isTrue();
    assertThat(simulation.oracle().startCount()).isEqualTo(4);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /**
   * Hosts whose claim delays differ by less than the pause between two reads must not claim one
   * after the other.
   */
  @Test
  void killedOwnerIsReplacedByOneClaim() {
    List.of("d", "e", "f", "g", "h").forEach(simulation::addHost);
    simulation.time().run(1_000);
    for (int i = 0; i < 5; i++) {
      long claims = claims();
      ClusterSimulation.Host killed = owner();
      killed.kill();
      submitEvery100Millis("round" + i, 40);
      assertThat(claims() - claims).isEqualTo(1);
      killed.start();
      simulation.time().run(2_000);
    }
  }

  /** The store is a hundred times slower than usual (Riga trouble-2). */
  @Test
  void tasksStartWhileTheStoreIsSlowerThanTheHeartbeatInterval() {
    simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(700));
    simulation.time().run(2_000);
    simulation.submit(simulation.hosts().get(0), job("j1", quick(), tasks(1).build()));
    simulation.time().run(8_000);
    assertThat(simulation.oracle().startCount()).isEqualTo(1);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** The owner is killed while the store is sixty times slower than usual (Tema trouble-2). */
  @Test
  void ownerIsReplacedByFewClaimsWhileTheStoreIsSlow() {
    List.of("d", "e", "f", "g", "h").forEach(simulation::addHost);
    simulation.time().run(1_000);
    simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(300));
    simulation.time().run(2_000);
    long claims = claims();
    owner().kill();
    submitEvery100Millis("slow", 60);
    assertThat(claims() - claims).isAtMost(2);
    assertThat(simulation.hosts().stream().filter(ClusterSimulation.Host::isOwner).count())
        .isEqualTo(1);
  }

  private void submitEvery100Millis(String prefix, int jobs) {
    for (int i = 0; i < jobs; i++) {
      ClusterSimulation.Host up =
          simulation.hosts().stream().filter(h -> h.entry().isPresent()).findAny().orElseThrow();
      simulation.submit(up, job(prefix + "-" + i, quick(), tasks(1).build()));
      simulation.time().run(100);
    }
  }

  /** Returns the number of stored claims, including those of hosts that were superseded at once. */
  private long claims() {
    return simulation.logLines().stream()
        .filter(l -> l.contains("\"OWNER_CHANGED\"") && l.contains("\"released\":false"))
        .map(l -> l.replaceAll(".*(\"term\":[0-9]+).*", "$1"))
        .distinct()
        .count();
  }

  @Test
  void drainedOwnerHandsOverWithinHalfASecond() {
    ClusterSimulation.Host before = owner();
    before.entry().orElseThrow().drain();
    simulation.time().run(500);
    assertThat(owner()).isNotEqualTo(before);
  }

  @Test
  void tasksOfASilentExecutorAreMovedOnceTheLeaseHasLapsed() {
    StepSpec lasting = tasks(1).longRunning(true).build();
    JobSpec spec = job("j1", quick(), lasting);
    submit(spec);
    simulation.time().run(500);
    FakeExecutor gone = executorRunning(spec);
    gone.crash();
    simulation.time().run(8_000);
    assertThat(executorRunning(spec).id()).isNotEqualTo(gone.id());
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /**
   * Each takeover left a task assigned to a failed executor for another 20 s (Riga trouble-1, seed
   * 230846762892).
   */
  @Test
  void taskOfALostExecutorRunsElsewhereWithinThirteenSecondsOfATakeover() {
    JobSpec spec = job("j1", quick(), tasks(1).longRunning(true).build());
    submit(spec);
    simulation.time().run(500);
    FakeExecutor gone = executorRunning(spec);
    gone.crash();
    simulation.removeAnnouncement(gone);
    owner().kill();
    simulation.time().run(13_000);
    assertThat(executorRunning(spec).id()).isNotEqualTo(gone.id());
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void longRunningTaskMovesBeforeItsExecutorShutsDown() {
    JobSpec spec = job("j1", quick(), tasks(1).longRunning(true).build());
    submit(spec);
    simulation.time().run(500);
    FakeExecutor leaving = executorRunning(spec);
    leaving.drain(2_000);
    simulation.time().run(1_000);
    assertThat(executorRunning(spec).id()).isNotEqualTo(leaving.id());
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void taskOfADrainingExecutorResumesElsewhereFromItsCheckpoint() {
    simulation.taskWorkMillis(id -> 4_000L);
    JobSpec spec = job("j1", quick(), tasks(1).checkpoints(true).build());
    submit(spec);
    executorRunning(spec).drain(2_000);
    simulation.time().run(5_000);
    assertThat(state(spec)).isEqualTo(JobState.COMPLETED);
    assertThat(simulation.oracle().startCount()).isEqualTo(2);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void taskOfACrashedExecutorResumesFromTheCheckpointOfItsLastReport() {
    simulation.taskWorkMillis(id -> 9_000L);
    JobSpec spec = job("j1", quick(), tasks(1).checkpoints(true).build());
    submit(spec);
    simulation.time().run(5_000);
    executorRunning(spec).crash();
    simulation.time().run(12_500);
    assertThat(state(spec)).isEqualTo(JobState.COMPLETED);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void tasksOfARestartedExecutorAreRestartedAtOnce() {
    simulation.taskWorkMillis(id -> 3_000L);
    JobSpec spec = job("j1", quick(), tasks(1).build());
    submit(spec);
    FakeExecutor restarted = executorRunning(spec);
    restarted.crash();
    simulation.time().run(1_000);
    restarted.boot();
    simulation.announce(restarted);
    simulation.time().run(700);
    assertThat(executorRunning(spec).tasks()).hasSize(1);
    assertThat(simulation.oracle().startCount()).isEqualTo(2);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void taskThatFailsTooOftenFailsTheJob() {
    simulation.taskEnd(id -> EndReason.FAILED);
    JobSpec spec = job("j1", quick(), tasks(1).build());
    submit(spec);
    simulation.time().run(20_000);
    assertThat(state(spec)).isEqualTo(JobState.FAILED);
    assertThat(simulation.oracle().startCount()).isEqualTo(ClusterSimulation.MAX_ATTEMPTS);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void cancelledJobIsStoppedAndStartsNoFurtherTasks() {
    simulation.taskWorkMillis(id -> 20_000L);
    JobSpec spec = job("j1", quick(), tasks(30).build());
    submit(spec);
    simulation.cancel(simulation.hosts().get(1), spec);
    simulation.time().run(2_000);
    assertThat(simulation.executors().stream().flatMap(e -> e.tasks().stream()).toList()).isEmpty();
    assertThat(state(spec)).isEqualTo(JobState.CANCELLED);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void teamNeverRunsMoreThanItsLimit() {
    simulation.limit(new Resources(3_000, 0, 0));
    simulation.taskWorkMillis(id -> 20_000L);
    simulation.time().run(2_000);
    submit(job("j1", quick(), tasks(10).build()));
    simulation.time().run(2_000);
    assertThat(simulation.executors().stream().mapToInt(e -> e.tasks().size()).sum()).isEqualTo(3);
  }

  @Test
  void gangStartsCompletelyOrNotAtAll() {
    simulation.taskWorkMillis(id -> 20_000L);
    submit(job("j1", quick(), tasks(20).build()));
    JobSpec gang = job("j2", quick(), tasks(6).gang(true).build());
    submit(gang);
    simulation.time().run(2_000);
    assertThat(simulation.oracle().startCount()).isEqualTo(20);
  }

  @Test
  void submissionIsRefusedAtOnceWhileTheStoreIsKnownToBeUnreachable() {
    simulation.hosts().forEach(h -> h.storeLink().disconnected(true));
    simulation.time().run(3_000);
    var answer = simulation.submit(simulation.hosts().get(0), job("j1", quick(), tasks(1).build()));
    assertThat(answer.result()).isInstanceOf(Outcome.Refused.class);
    simulation.hosts().forEach(h -> h.storeLink().disconnected(false));
    simulation.time().run(6_000);
    assertThat(simulation.oracle().startCount()).isEqualTo(0);
  }

  @Test
  void ownerAndTasksSurviveAnOutageOfTheStore() {
    simulation.taskWorkMillis(id -> 3_000L);
    ClusterSimulation.Host before = owner();
    JobSpec spec = job("j1", quick(), tasks(2).build(), tasks(1).after(List.of(0)).build());
    submit(spec);
    simulation.hosts().forEach(h -> h.storeLink().disconnected(true));
    simulation.time().run(5_000);
    simulation.hosts().forEach(h -> h.storeLink().disconnected(false));
    simulation.time().run(6_000);
    assertThat(owner()).isEqualTo(before);
    assertThat(simulation.oracle().isDone(spec)).isTrue();
    assertThat(simulation.oracle().startCount()).isEqualTo(3);
  }

  /** Guards against done tasks that run again because a report lists only the oldest ends. */
  @Test
  void tasksWhoseEndsAReportLeavesOutRunOnce() {
    JobSpec spec = endTasksWhileTheStoreIsAway(() -> {});
    assertThat(simulation.oracle().startCount()).isEqualTo(spec.steps().get(0).tasks());
    assertThat(state(spec)).isEqualTo(JobState.COMPLETED);
    assertThat(simulation.oracle().violations()).isEmpty();
    assertThat(simulation.logLines().stream().filter(l -> l.contains("REPORT_TRUNCATED")).count())
        .isEqualTo(1);
  }

  /** Guards against done tasks that a new owner starts again, for the same reason. */
  @Test
  void tasksWhoseEndsAReportToANewOwnerLeavesOutRunOnce() {
    JobSpec spec =
        endTasksWhileTheStoreIsAway(
            () -> {
              owner().kill();
              // The next report follows before the ends of the first one are acknowledged.
              simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(700));
            });
    simulation.time().run(10_000);
    assertThat(simulation.oracle().startCount()).isEqualTo(spec.steps().get(0).tasks());
    assertThat(state(spec)).isEqualTo(JobState.COMPLETED);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** Lets more tasks end on one executor during an outage of the store than it lists at once. */
  private JobSpec endTasksWhileTheStoreIsAway(Runnable duringOutage) {
    simulation.addExecutor("wide", new Resources(1_000_000, 1_000_000, 0));
    simulation.time().run(1_000);
    simulation.taskWorkMillis(id -> 2_000L);
    JobSpec spec = job("j1", quick(), tasks(700).build());
    submit(spec);
    simulation.time().run(1_000);
    simulation.hosts().forEach(h -> h.storeLink().disconnected(true));
    simulation.time().run(3_000);
    duringOutage.run();
    simulation.time().run(1_000);
    simulation.hosts().forEach(h -> h.storeLink().disconnected(false));
    simulation.time().run(10_000);
    return spec;
  }

  @Test
  void ownerThatCannotReachTheStoreIsReplacedAndStartsNothingMore() {
    simulation.taskWorkMillis(id -> 2_000L);
    ClusterSimulation.Host before = owner();
    JobSpec spec = job("j1", quick(), tasks(3).build(), tasks(3).after(List.of(0)).build());
    submit(spec);
    before.storeLink().disconnected(true);
    simulation.time().run(8_000);
    assertThat(before.isOwner()).isFalse();
    assertThat(simulation.oracle().isDone(spec)).isTrue();
    assertThat(simulation.oracle().startCount()).isEqualTo(6);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void startThatIsCarriedOutLateRunsOnlyOnce() {
    owner().executorLink().delayedCallRate(0.5);
    JobSpec spec = job("j1", quick(), tasks(12).build());
    submit(spec);
    simulation.time().run(3_000);
    owner().executorLink().delayedCallRate(0);
    simulation.time().run(15_000);
    assertThat(simulation.oracle().isDone(spec)).isTrue();
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void jobIsDeletedEverywhereAfterItsRetentionTime() {
    JobSpec spec = job("j1", quick(), tasks(1).build());
    submit(spec);
    simulation.time().run(100_000);
    assertThat(state(spec)).isEqualTo(JobState.COMPLETED);
    simulation.time().run(120_000);
    assertThat(recordsOf("j1")).isEmpty();
    var answer = simulation.state(simulation.hosts().get(1), spec);
    simulation.time().run(50);
    assertThat(answer.result().isPresent()).isFalse();
  }

  private List<String> recordsOf(String job) {
    return simulation.ledger().stream()
        .flatMap(partition -> partition.newest().stream())
        .map(KeyedTopic.Entry::key)
        .filter(key -> key.contains(job))
        .toList();
  }

  /** The store compacts its log, and the owner is killed shortly afterwards (Riga scale-1). */
  @Test
  void compactionOfTheLogDoesNotDelayATakeover() {
    simulation.time().run(3_000);
    submitEvery100Millis("before", 10);
    for (int i = 0; i < 4; i++) {
      simulation.submit(owner(), job("more" + i, quick(), tasks(1).build()));
      simulation.time().run(20);
    }
    simulation.ledger().forEach(FakeLog::compact);
    owner().kill();
    simulation.time().run(1_350);
    assertThat(simulation.hosts().stream().anyMatch(ClusterSimulation.Host::isOwner)).isTrue();
  }

  @Test
  void newestRecordsAreLoadedAgainAfterCompaction() {
    JobSpec spec = job("j1", quick(), tasks(2).build());
    submit(spec);
    simulation.ledger().forEach(FakeLog::compact);
    simulation.time().run(3_000);
    assertThat(state(spec)).isEqualTo(JobState.COMPLETED);
  }

  @Test
  void hostReadsTheStoreBeforeItReportsAJobAsMissing() {
    JobSpec spec = job("j1", quick(), tasks(1).build());
    simulation.submit(simulation.hosts().get(0), spec);
    simulation.time().run(6);
    var answer = simulation.state(simulation.hosts().get(2), spec);
    simulation.time().run(50);
    assertThat(answer.result().isPresent()).isTrue();
  }
}
