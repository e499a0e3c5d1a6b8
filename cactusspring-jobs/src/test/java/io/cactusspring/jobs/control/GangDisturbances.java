package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.schedule.RunKey;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.FakeExecutor;
import io.cactusspring.jobs.simulation.WaitingWorkCheck;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Makes work of gangs, and disturbs it: runs fail early, executors fail all that they run, are cut
 * off and crash, and the owner is killed between the ends of two members of one run. All choices
 * come from a generator of its own.
 */
final class GangDisturbances {
  private static final double EARLY_FAILURE_RATE = 0.3;
  private static final int OWNER_DOWN_MILLIS = 900;
  private static final int MILLIS_BETWEEN_KILLS = 2_500;

  /** Within this time after the first end of a run, the others end or are on their way. */
  private static final int MAX_KILL_DELAY_MILLIS = 60;

  private final ClusterSimulation simulation;
  private final WaitingWorkCheck check;
  private final Random random;

  /** The runs of gangs of which a member has failed. */
  private final Set<RunKey> failedRuns = new HashSet<>();

  private boolean active = true;
  private long lastKillAt;

  GangDisturbances(ClusterSimulation simulation, WaitingWorkCheck check, Random random) {
    this.simulation = simulation;
    this.check = check;
    this.random = random;
    simulation.earlyGangFailureRate(EARLY_FAILURE_RATE);
    simulation.onRunEnded(this::ended);
    simulation.onEndAcknowledged(this::acknowledged);
  }

  /** Makes most steps gangs of 2 to 6 members, on one or on several executors. */
  StepSpec.Builder change(StepSpec.Builder step) {
    if (random.nextInt(5) == 0) {
      return step;
    }
    int members = 2 + random.nextInt(5);
    // Every step may use two executors at least.
    int most = random.nextBoolean() ? 0 : (members + 1) / 2;
    return step.tasks(members).gang(true).checkpoints(random.nextBoolean()).maxPerExecutor(most);
  }

  /** Injects a fault in addition to the others. */
  void inject() {
    FakeExecutor executor =
        simulation.executors().get(random.nextInt(simulation.executors().size()));
    long millis = 200L + random.nextInt(5_000);
    switch (random.nextInt(8)) {
      case 0 -> {
        executor.failsTasks(true);
        during(millis, () -> executor.failsTasks(false));
      }
      case 1 -> {
        executor.silent(true);
        during(millis, () -> executor.silent(false));
      }
      case 2 -> {
        executor.crash();
        during(millis, () -> simulation.restart(executor));
      }
      case 3 -> {
        // The orders of one host are carried out late.
        Host host = simulation.hosts().get(random.nextInt(simulation.hosts().size()));
        host.executorLink().delayedCallRate(0.3);
        during(millis, () -> host.executorLink().delayedCallRate(0));
      }
      default -> {}
    }
  }

  private void during(long millis, Runnable end) {
    check.faultFor(millis);
    simulation.time().after(millis, end);
  }

  /** Ends all disturbances. */
  void end() {
    active = false;
    simulation.earlyGangFailureRate(0);
    simulation.executors().forEach(e -> e.failsTasks(false));
    simulation.executors().forEach(e -> e.silent(false));
  }

  private void ended(EndedRun end) {
    if (isFailedMember(end)
        && failedRuns.add(new RunKey(firstMember(end.task()), end.run()))
        && random.nextInt(4) == 0) {
      killOwner(random.nextInt(MAX_KILL_DELAY_MILLIS), end);
    }
  }

  private void acknowledged(EndedRun end) {
    if (isFailedMember(end) && random.nextInt(3) == 0) {
      killOwner(0, end);
    }
  }

  private boolean isFailedMember(EndedRun end) {
    return active && end.reason() == EndReason.FAILED && simulation.step(end.task()).gang();
  }

  private static TaskId firstMember(TaskId member) {
    return new TaskId(member.job(), member.occurrence(), member.step(), 0);
  }

  /** Kills the owner after some milliseconds if another member of the run has not ended by then. */
  private void killOwner(long millis, EndedRun end) {
    simulation
        .time()
        .after(
            millis,
            () -> {
              boolean due = simulation.time().now() - lastKillAt >= MILLIS_BETWEEN_KILLS;
              if (active && due && isRunning(end.task())) {
                simulation.hosts().stream().filter(Host::isOwner).forEach(this::kill);
              }
            });
  }

  private boolean isRunning(TaskId member) {
    StepId step = new StepId(member.job(), member.occurrence(), member.step());
    return simulation.executors().stream()
        .filter(FakeExecutor::isUp)
        .flatMap(e -> e.tasks().stream())
        .anyMatch(t -> new StepId(t.job(), t.occurrence(), t.step()).equals(step));
  }

  private void kill(Host owner) {
    lastKillAt = simulation.time().now();
    owner.kill();
    during(
        OWNER_DOWN_MILLIS,
        () -> {
          if (owner.entry().isEmpty()) {
            owner.start();
          }
        });
  }
}
