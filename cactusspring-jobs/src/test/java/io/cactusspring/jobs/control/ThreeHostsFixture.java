package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.FakeExecutor;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;

/** Three entry hosts and three executors on a simulated platform, and jobs for them. */
abstract class ThreeHostsFixture {
  static final Resources EXECUTOR_CAPACITY = new Resources(8_000, 8_000, 0);
  private static final Resources TASK_RESOURCES = new Resources(1_000, 1_000, 0);

  ClusterSimulation simulation;

  @BeforeEach
  void startThreeHosts() {
    simulation = new ClusterSimulation(7);
    List.of("a", "b", "c").forEach(simulation::addHost);
    List.of("x1", "x2", "x3").forEach(id -> simulation.addExecutor(id, EXECUTOR_CAPACITY));
    simulation.time().run(3_000);
  }

  static JobSpec job(String id, Queue queue, StepSpec... steps) {
    return new JobSpec(id, queue, "team", "payload", List.of(steps), 0, 0, 0, 0);
  }

  static StepSpec.Builder tasks(int count) {
    return StepSpec.builder().tasks(count).resources(TASK_RESOURCES).estimateMillis(500);
  }

  static Queue quick() {
    return ClusterSimulation.queue("quick", 0, null);
  }

  void submit(JobSpec spec) {
    Outcome outcome = simulation.submit(simulation.hosts().get(0), spec).result();
    assertThat(outcome).isNull();
    simulation.time().run(100);
  }

  JobState state(JobSpec spec) {
    var answer =
        simulation.hosts().stream()
            .filter(h -> h.entry().isPresent())
            .findFirst()
            .map(h -> simulation.state(h, spec))
            .orElseThrow();
    simulation.time().run(100);
    return answer.result().orElseThrow();
  }

  ClusterSimulation.Host owner() {
    return simulation.hosts().stream()
        .filter(ClusterSimulation.Host::isOwner)
        .findFirst()
        .orElseThrow();
  }

  FakeExecutor executorRunning(JobSpec spec) {
    return simulation.executors().stream()
        .filter(e -> e.tasks().stream().anyMatch(t -> t.job().equals(spec.id())))
        .findFirst()
        .orElseThrow();
  }
}
