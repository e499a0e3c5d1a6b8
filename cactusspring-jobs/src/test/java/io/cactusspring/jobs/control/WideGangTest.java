package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.AdviceTerms;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests gangs with wide members on more executors than one call for advice may name. */
final class WideGangTest {
  private static final AdviceSettings ADVICE = new AdviceSettings(20, 1, 2_000);
  private static final Queue QUEUE = ClusterSimulation.queue("advised", 1, ADVICE);
  private static final Resources CAPACITY = new Resources(8_000, 8_000, 0);
  private static final Resources HALF = new Resources(4_000, 4_000, 0);
  private static final int EXECUTORS = 150;
  private static final long TASK_MILLIS = 3_000;

  private final ClusterSimulation simulation = new ClusterSimulation(6);

  @BeforeEach
  void start() {
    simulation.taskWorkMillis(id -> TASK_MILLIS);
    simulation.adviceTerms(Map.of(QUEUE.name(), new AdviceTerms(ADVICE, 1)));
    List.of("a", "b", "c").forEach(simulation::addHost);
    IntStream.range(0, EXECUTORS).forEach(i -> simulation.addExecutor("x" + i, CAPACITY));
    simulation.time().run(4_000);
  }

  private void submit(String job, int tasks, boolean gang, Resources resources) {
    StepSpec step =
        StepSpec.builder()
            .tasks(tasks)
            .gang(gang)
            .resources(resources)
            .estimateMillis(TASK_MILLIS)
            .build();
    JobSpec spec = new JobSpec(job, QUEUE, "team", "p", List.of(step), 0, 0, 0, 0);
    simulation.submit(simulation.hosts().get(0), spec);
  }

  private long running(String job) {
    return simulation.executors().stream()
        .flatMap(e -> e.tasks().stream())
        .filter(t -> t.job().equals(job))
        .count();
  }

  /** Guards against a call that names all executors of a service and is refused for ever. */
  @Test
  void gangStartsOnAServiceOfMoreExecutorsThanACallMayName() {
    submit("gang", 24, true, HALF);
    simulation.time().run(1_000);
    assertThat(running("gang")).isEqualTo(24);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** Guards against a call that names all executors that are kept for a gang. */
  @Test
  void gangStartsOnMoreKeptExecutorsThanACallMayName() {
    submit("before", EXECUTORS, false, CAPACITY);
    simulation.time().run(2_000);
    submit("gang", 120, true, CAPACITY);
    simulation.time().run(1_000 + TASK_MILLIS);
    assertThat(running("gang")).isEqualTo(120);
    assertThat(simulation.oracle().violations()).isEmpty();
  }
}
