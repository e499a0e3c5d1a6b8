package io.cactusspring.jobs.control;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.FakeExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Three entry hosts, and executors in two zones: those of the first one start again under their
 * ids, those of the second one stay.
 */
abstract class RebootPlay {
  /** Longer than a host needs to take over from one that was killed. */
  private static final long HOST_RESTART_MILLIS = 900;

  final Random random;
  final ClusterSimulation simulation;
  private final List<FakeExecutor> rebooting = new ArrayList<>();
  private int jobs;

  RebootPlay(long seed) {
    random = new Random(seed);
    simulation = new ClusterSimulation(seed);
    List.of("a", "b", "c").forEach(simulation::addHost);
  }

  final List<FakeExecutor> rebooting() {
    return rebooting;
  }

  final void addRebootingExecutor(Resources capacity) {
    rebooting.add(simulation.addExecutor("x" + rebooting.size(), "p", capacity));
  }

  final void addSteadyExecutor(Resources capacity) {
    int index = simulation.executors().size() - rebooting.size();
    simulation.addExecutor("y" + index, "q", capacity);
  }

  /** Submits a job of one step to a host that is not the owner. */
  final void submit(StepSpec step) {
    JobSpec job =
        new JobSpec(
            "job" + jobs++,
            ClusterSimulation.queue("quick", random.nextInt(3), null),
            "team",
            "payload",
            List.of(step),
            0,
            0,
            0,
            simulation.time().now());
    simulation.hosts().stream()
        .filter(h -> h.entry().isPresent() && !h.isOwner())
        .findFirst()
        .ifPresent(h -> simulation.submit(h, job));
  }

  /** Sets the fraction of calls to executors that get no answer and are carried out late. */
  final void delayedCallRate(double rate) {
    simulation.hosts().forEach(h -> h.executorLink().delayedCallRate(rate));
  }

  /** Boots an executor, which announces itself within some milliseconds. */
  final void boot(FakeExecutor executor, int announceMillis) {
    executor.boot();
    simulation.time().after(random.nextInt(announceMillis), () -> simulation.announce(executor));
  }

  final void killOwner() {
    simulation.hosts().stream()
        .filter(ClusterSimulation.Host::isOwner)
        .forEach(
            h -> {
              h.kill();
              simulation.time().after(HOST_RESTART_MILLIS, h::start);
            });
  }
}
