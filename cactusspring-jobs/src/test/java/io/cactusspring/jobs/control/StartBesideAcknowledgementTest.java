package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs many tasks on one executor, whose ends are acknowledged between the starts. */
final class StartBesideAcknowledgementTest {
  private static final int SLOTS = 8;
  private static final int TASKS = 200;
  private static final long SHORTEST_TASK_MILLIS = 300;
  private static final int LONGER_BY_MILLIS = 105;
  private static final long USUAL_ANSWER_MILLIS = 4;
  private static final long CALL_MILLIS = 40 + USUAL_ANSWER_MILLIS;

  private final ClusterSimulation simulation = new ClusterSimulation(5);

  private Host owner() {
    return simulation.hosts().stream().filter(Host::isOwner).findFirst().orElseThrow();
  }

  /** Starts the owner and the executor, to whom calls take the given times. */
  private void begin(long storeMillis) {
    List.of("a", "b").forEach(simulation::addHost);
    simulation.addExecutor("x1", new Resources(SLOTS * 1_000, SLOTS * 1_000, 0));
    simulation.taskWorkMillis(
        id -> SHORTEST_TASK_MILLIS + Math.floorMod(id.hashCode(), LONGER_BY_MILLIS));
    simulation.time().run(3_000);
    owner().storeLink().extraLatencyMillis(storeMillis - USUAL_ANSWER_MILLIS);
    owner().executorLink().extraLatencyMillis(CALL_MILLIS - USUAL_ANSWER_MILLIS);
  }

  private void submitJob() {
    StepSpec step =
        StepSpec.builder()
            .tasks(TASKS)
            .resources(new Resources(1_000, 1_000, 0))
            .estimateMillis(SHORTEST_TASK_MILLIS)
            .build();
    JobSpec job =
        new JobSpec(
            "j1",
            ClusterSimulation.queue("quick", 0, null),
            "team",
            "payload",
            List.of(step),
            0,
            0,
            0,
            simulation.time().now());
    simulation.submit(owner(), job);
  }

  private boolean isJobEnded() {
    return simulation.logLines().stream().anyMatch(l -> l.contains("CS2402"));
  }

  /**
   * Guards against starts that wait for a second write to the store after an acknowledgement: a
   * task may wait for the report of the end before it, one write, an acknowledgement and its start.
   */
  @ParameterizedTest
  @ValueSource(longs = {120, 300})
  void startsWaitForOneWriteToTheStoreThoughEndsAreAcknowledged(long storeMillis) {
    begin(storeMillis);
    submitJob();
    long taskMillis = SHORTEST_TASK_MILLIS + LONGER_BY_MILLIS + storeMillis + 3 * CALL_MILLIS;
    simulation.time().run(2 * storeMillis + TASKS / SLOTS * taskMillis);
    assertThat(isJobEnded()).isTrue();
  }
}
