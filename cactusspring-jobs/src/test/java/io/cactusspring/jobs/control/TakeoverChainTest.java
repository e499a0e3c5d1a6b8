package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.schedule.SchedulerSettings;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.FakeExecutor;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests when a task of an executor that does not answer starts elsewhere, after owners that
 * followed each other within seconds.
 */
final class TakeoverChainTest {
  private static final long LEASE_MILLIS =
      Math.round(SchedulerSettings.builder().build().leaseMillis() / 0.98);

  /** Time after the last run from which a task may not be idle for long. */
  private static final long RESTART_MILLIS = 6_000;

  /** Time without a disturbance from which on that holds. */
  private static final long CALM_MILLIS = 4_000;

  private static final long MAX_IDLE_MILLIS = 3_000;

  private static final JobSpec JOB =
      new JobSpec(
          "j1",
          ClusterSimulation.queue("quick", 0, null),
          "team",
          "p",
          List.of(StepSpec.builder().resources(new Resources(500, 100, 0)).build()),
          0,
          0,
          0,
          0);

  private ClusterSimulation simulation;

  @BeforeEach
  void startTaskOfAMinute() {
    startTaskOfAMinute(2);
  }

  private void startTaskOfAMinute(int executors) {
    simulation = new ClusterSimulation(3);
    simulation.taskWorkMillis(id -> 60_000L);
    List.of("a", "b", "c").forEach(simulation::addHost);
    IntStream.rangeClosed(1, executors)
        .forEach(i -> simulation.addExecutor("x" + i, "zone", new Resources(4_000, 4_000, 0)));
    simulation.time().run(20_000);
    simulation.submit(simulation.hosts().get(0), JOB);
    simulation.time().run(1_000);
  }

  private FakeExecutor executorOfTask() {
    return simulation.executors().stream()
        .filter(e -> e.isUp() && !e.tasks().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private boolean runs() {
    return simulation.executors().stream().anyMatch(e -> e.isUp() && !e.tasks().isEmpty());
  }

  private List<Host> owners() {
    return simulation.hosts().stream().filter(Host::isOwner).toList();
  }

  private void killOwnersAndRestart() {
    for (Host owner : owners()) {
      owner.kill();
      simulation.time().after(900, owner::start);
    }
  }

  /** Guards against a wait that begins anew with each owner, although none reached the executor. */
  @Test
  void taskOfALostExecutorRunsAfterOneLeaseWhenOwnersAreKilledInTurn() {
    executorOfTask().crash();
    long lostAt = simulation.time().now();
    simulation.time().run(1_000);
    for (int i = 0; i < 4; i++) {
      killOwnersAndRestart();
      simulation.time().run(1_300);
    }
    simulation.time().run(lostAt + LEASE_MILLIS + 2_000 - simulation.time().now());
    assertThat(runs()).isTrue();
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** As above, with an owner that has not noticed the loss before it is killed. */
  @Test
  void laterOwnersDoNotProlongTheWaitForLeasesOfTheFirst() {
    executorOfTask().crash();
    long lostAt = simulation.time().now();
    for (int i = 0; i < 8; i++) {
      killOwnersAndRestart();
      simulation.time().run(1_300);
    }
    long longestWait = SchedulerSettings.builder().build().previousOwnerLeaseMillis();
    simulation.time().run(lostAt + longestWait + 1_000 - simulation.time().now());
    assertThat(runs()).isTrue();
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** Returns until when a long-running task has to run again after its last run was lost. */
  private static long latestRunAt(long lostAt, long disturbedAt) {
    return Math.max(lostAt + RESTART_MILLIS, disturbedAt + CALM_MILLIS) + MAX_IDLE_MILLIS;
  }

  /**
   * Loses the executor of a task and then processes, and checks when the task runs again.
   *
   * @param pauseMillis time between the two losses
   * @param downMillis time until the processes are started again
   */
  private void checkLosses(
      int executors, long pauseMillis, long downMillis, Supplier<List<Host>> lostHosts) {
    startTaskOfAMinute(executors);
    executorOfTask().crash();
    long lostAt = simulation.time().now();
    simulation.time().run(pauseMillis);
    List<Host> lost = lostHosts.get();
    lost.forEach(Host::kill);
    simulation.time().run(downMillis);
    lost.forEach(h -> h.cutFromPeers(false));
    lost.forEach(Host::start);
    long latest = latestRunAt(lostAt, simulation.time().now());
    simulation.time().run(latest - simulation.time().now());
    String losses = "%s executors, pause %s ms, down for %s ms";
    assertWithMessage(losses, executors, pauseMillis, downMillis).that(runs()).isTrue();
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  private void checkLosses(Supplier<List<Host>> lostHosts) {
    for (long pause = 0; pause <= 2_000; pause += 100) {
      for (long down : List.of(200, 500, 900, 2_000)) {
        checkLosses(2 + (int) (pause / 100 % 3), pause, down, lostHosts);
      }
    }
  }

  /**
   * Guards against a wait for leases that the killed owner might have granted for seconds after its
   * end, if it had not recorded yet that the executor does not answer.
   */
  @Test
  void taskOfALostExecutorRunsInTimeWheneverTheOwnerIsKilledAfterwards() {
    checkLosses(this::owners);
  }

  /** The machine is off, so that nothing answers at its address, not even a refusal. */
  @Test
  void ownerWhoseMachineWasLostIsKnownToHaveEndedOnceTheMachineIsBack() {
    checkLosses(
        () -> {
          List<Host> lost = owners();
          lost.forEach(h -> h.cutFromPeers(true));
          return lost;
        });
  }

  /** Nobody was there to see that the owner had ended. */
  @Test
  void taskOfALostExecutorRunsInTimeAfterAllHostsAreKilled() {
    checkLosses(() -> simulation.hosts());
  }

  /**
   * Guards against a second run beside one whose lease was renewed after the owner had recorded
   * that its executor does not answer.
   */
  @Test
  void executorThatAnswersAgainGetsALeaseOnlyOnceThatIsRecorded() {
    for (int millis = 0; millis <= 1_000; millis += 20) {
      startTaskOfAMinute();
      FakeExecutor executor = executorOfTask();
      simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(300));
      executor.silent(true);
      simulation.time().run(3_000);
      executor.silent(false);
      simulation.time().run(millis);
      executor.silent(true);
      owners().forEach(Host::kill);
      simulation.time().run(20_000);
      assertWithMessage("%s ms", millis).that(simulation.oracle().violations()).isEmpty();
      assertThat(runs()).isTrue();
    }
  }

  /**
   * Guards against a second run beside one whose lease was renewed by an owner whose records say
   * that it has granted none yet.
   */
  @Test
  void newOwnerGrantsLeasesOnlyOnceThatIsRecorded() {
    for (int millis = 0; millis <= 3_000; millis += 20) {
      startTaskOfAMinute();
      FakeExecutor executor = executorOfTask();
      simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(300));
      Host first = owners().get(0);
      first.entry().orElseThrow().drain();
      simulation.time().run(millis);
      executor.silent(true);
      owners().forEach(Host::kill);
      simulation.time().run(20_000);
      assertWithMessage("%s ms", millis).that(simulation.oracle().violations()).isEmpty();
    }
  }
}
