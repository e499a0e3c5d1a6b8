package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Tests that a gang whose members fail shortly after one another is started exactly as often as it
 * has attempts, whenever its owner ends. Guards against a run that is counted by two owners, or by
 * none because an end was acknowledged before it was stored.
 */
final class GangStoreTest extends ThreeHostsFixture {
  private static final int MEMBERS = 3;

  /** The three runs and the pauses between them, with time to spare. */
  private static final int LAST_DISTURBANCE_MILLIS = 1_500;

  private static final int DISTURBANCE_INTERVAL_MILLIS = 20;

  private final Map<TaskId, Integer> starts = new HashMap<>();

  private JobSpec submitFailingGang() {
    simulation.taskWorkMillis(id -> 200L + 15 * id.index());
    simulation.taskEnd(
        id -> {
          starts.merge(id, 1, Integer::sum);
          return EndReason.FAILED;
        });
    JobSpec spec = job("gang", quick(), tasks(MEMBERS).gang(true).maxPerExecutor(1).build());
    submit(spec);
    return spec;
  }

  /** Plays a disturbance of the owner at many times of the job, each in a cluster of its own. */
  private void assertAllAttemptsAreUsed(Consumer<Host> disturbance) {
    for (int at = 0; at < LAST_DISTURBANCE_MILLIS; at += DISTURBANCE_INTERVAL_MILLIS) {
      startThreeHosts();
      starts.clear();
      JobSpec spec = submitFailingGang();
      simulation.time().run(at);
      disturbance.accept(owner());
      simulation.time().run(20_000);
      assertWithMessage("state after a disturbance at %s", at)
          .that(state(spec))
          .isEqualTo(JobState.FAILED);
      assertWithMessage("members started, disturbance at %s", at).that(starts).hasSize(MEMBERS);
      assertWithMessage("starts of each member, disturbance at %s", at)
          .that(Map.copyOf(starts).values().stream().distinct().toList())
          .containsExactly(quick().maxAttempts());
      assertThat(simulation.oracle().violations()).isEmpty();
    }
  }

  @Test
  void eachRunCountsOnceWheneverTheOwnerIsKilled() {
    assertAllAttemptsAreUsed(
        owner -> {
          owner.kill();
          simulation.time().run(4_000);
          owner.start();
        });
  }

  @Test
  void eachRunCountsOnceWheneverTheOwnerStopsAsPlanned() {
    assertAllAttemptsAreUsed(owner -> owner.stop(500));
  }

  /** The owner steps down; it may own the executors again after the next one is cut off, too. */
  @Test
  void eachRunCountsOnceWheneverTheOwnerIsCutOffFromTheStore() {
    assertAllAttemptsAreUsed(
        owner -> {
          owner.storeLink().disconnected(true);
          simulation.time().run(4_000);
          owner.storeLink().disconnected(false);
          Host next = owner();
          next.storeLink().disconnected(true);
          simulation.time().run(4_000);
          next.storeLink().disconnected(false);
        });
  }

  /** Appends are sent again, to several partitions, and some are stored after the owner's end. */
  @Test
  void eachRunCountsOnceWheneverTheOwnerIsKilledWhileTheStoreLosesAnswers() {
    assertAllAttemptsAreUsed(
        owner -> {
          simulation.hosts().forEach(h -> h.storeLink().answerLossRate(0.3));
          simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(60));
          simulation.time().run(300);
          owner.kill();
          simulation.time().run(4_000);
          simulation.hosts().forEach(h -> h.storeLink().answerLossRate(0));
          owner.start();
        });
  }
}
