package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.FakeExecutor;
import org.junit.jupiter.api.Test;

/** Tests an owner whose machine is suspended, so that its monotonic clock stands still. */
final class SuspendedOwnerTest extends ThreeHostsFixture {
  /**
   * Time after the last heartbeat of an owner at which its successor takes all leases for lapsed.
   */
  private static final long LEASES_LAPSED_MILLIS = 11_100;

  /**
   * Guards against leases that last longer than a successor, which starts the tasks anew, expects.
   */
  @Test
  void leasesOfASuspendedOwnerLapseWhenItsSuccessorExpects() {
    simulation.taskWorkMillis(id -> 60_000L);
    JobSpec job = job("lasting", quick(), tasks(1).build());
    submit(job);
    simulation.time().run(500);
    Host owner = owner();
    FakeExecutor executor = executorRunning(job);
    owner.storeLink().disconnected(true);
    owner.cutFromPeers(true);
    // A successor that reached the executors would fence them.
    simulation.hosts().stream()
        .filter(h -> h != owner)
        .forEach(h -> h.executorLink().disconnected(true));
    owner.suspend(4_000);
    simulation.time().run(LEASES_LAPSED_MILLIS);
    assertThat(executor.tasks()).isEmpty();
  }
}
