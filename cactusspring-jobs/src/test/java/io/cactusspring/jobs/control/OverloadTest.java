package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which jobs wait while the load exceeds the capacity, as on days with bursts. */
final class OverloadTest {
  private static final Resources EXECUTOR_CAPACITY = new Resources(4_000, 4_000, 0);
  private static final Resources TASK_RESOURCES = new Resources(1_000, 1_000, 0);

  private ClusterSimulation simulation;
  private Host caller;

  @BeforeEach
  void startTwoHosts() {
    simulation = new ClusterSimulation(11);
    List.of("a", "b").forEach(simulation::addHost);
    List.of("x1", "x2").forEach(id -> simulation.addExecutor(id, EXECUTOR_CAPACITY));
    simulation.time().run(3_000);
    caller = simulation.hosts().get(0);
  }

  private JobSpec submit(String id, int tasks) {
    return submit(id, "team", tasks, TASK_RESOURCES);
  }

  private JobSpec submit(String id, String organisation, int tasks, Resources resources) {
    StepSpec step =
        StepSpec.builder().tasks(tasks).resources(resources).estimateMillis(500).build();
    JobSpec spec =
        new JobSpec(
            id,
            ClusterSimulation.queue("quick", 0, null),
            organisation,
            "payload",
            List.of(step),
            0,
            0,
            0,
            simulation.time().now());
    simulation.submit(caller, spec);
    return spec;
  }

  /**
   * A burst of four times the capacity for four seconds, followed by the usual load. The host of
   * the burst cannot reach the owner, which would reject a part of it.
   */
  @Test
  void newJobCompletesInTimeWhileOverdueJobsStillWait() {
    Host owner = simulation.hosts().stream().filter(Host::isOwner).findFirst().orElseThrow();
    caller = simulation.hosts().stream().filter(h -> h != owner).findFirst().orElseThrow();
    caller.cutFromPeers(true);
    simulation.time().run(2_000);
    for (int i = 0; i < 160; i++) {
      submit("burst" + i, 1);
    }
    simulation.time().run(6_000);
    caller = owner;
    JobSpec fresh = submit("fresh", 1);
    simulation.time().run(1_250);
    assertThat(simulation.oracle().isDone(fresh)).isTrue();
    assertThat(simulation.oracle().startCount()).isLessThan(161);
    simulation.time().run(20_000);
    assertThat(simulation.oracle().startCount()).isEqualTo(161);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /**
   * One organisation sends seven times its usual rate for 6 s, in all 1.5 times the capacity. Its
   * own surplus waits; all jobs run once the surge is over.
   */
  @Test
  void surgeOfOneOrganisationDelaysNoOther() {
    Resources noLimit = new Resources(0, 0, 0);
    simulation.organisations(
        List.of(
            new Organisation("steady", Set.of("key1"), 13, noLimit),
            new Organisation("surging", Set.of("key2"), 13, noLimit)));
    simulation.time().run(1_000);
    Resources quarter = new Resources(250, 250, 0);
    Deque<JobSpec> steady = new ArrayDeque<>();
    int late = 0;
    for (int i = 0; i < 504; i++) {
      submit("surge" + i, "surging", 1, quarter);
      if (i % 7 == 0) {
        steady.add(submit("steady" + i, "steady", 1, quarter));
      }
      simulation.time().run(12);
      if (isDue(steady.getFirst())) {
        late += simulation.oracle().isDone(steady.removeFirst()) ? 0 : 1;
      }
    }
    assertThat(late).isEqualTo(0);
    simulation.time().run(10_000);
    assertThat(simulation.oracle().startCount()).isEqualTo(504 + 72);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** The objective of a task of 500 ms is 1,250 ms; the rest is the time of messages and ends. */
  private boolean isDue(JobSpec spec) {
    return simulation.time().now() - spec.acceptedMillis() >= 1_400;
  }

  /** Fills the capacity of all executors with tasks of a low-priority queue. */
  private JobSpec fillExecutorsWithLongTasks(boolean checkpoints) {
    simulation.taskWorkMillis(id -> id.job().equals("large") ? 6_000L : 500L);
    StepSpec step =
        StepSpec.builder()
            .tasks(8)
            .resources(TASK_RESOURCES)
            .estimateMillis(6_000)
            .checkpoints(checkpoints)
            .build();
    JobSpec large =
        new JobSpec(
            "large",
            ClusterSimulation.queue("long", 2, null),
            "team",
            "payload",
            List.of(step),
            0,
            0,
            0,
            simulation.time().now());
    simulation.submit(simulation.hosts().get(0), large);
    simulation.time().run(3_000);
    return large;
  }

  /** Large jobs occupy all executors when quick jobs arrive. */
  @Test
  void quickJobPreemptsTasksThatCanResumeFromACheckpoint() {
    JobSpec large = fillExecutorsWithLongTasks(true);
    JobSpec quick = submit("quick", 4);
    simulation.time().run(1_250);
    assertThat(simulation.oracle().isDone(quick)).isTrue();
    assertThat(simulation.oracle().startCount()).isAtMost(8 + 4 + 4);
    simulation.time().run(5_000);
    assertThat(simulation.oracle().isDone(large)).isTrue();
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** Quick jobs arrive while the executors run tasks that would lose their progress if stopped. */
  @Test
  void tasksWithoutCheckpointsAreNotPreempted() {
    fillExecutorsWithLongTasks(false);
    submit("quick", 4);
    simulation.time().run(10_000);
    assertThat(simulation.oracle().startCount()).isEqualTo(8 + 4);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** The store is 85 times slower than usual, and tasks need advice (large Riga, trouble-2). */
  @Test
  void taskStartsAfterOneResponseOfASlowStore() {
    simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(300));
    simulation.time().run(3_000);
    StepSpec step = StepSpec.builder().tasks(2).resources(TASK_RESOURCES).build();
    Queue advised = ClusterSimulation.queue("advised", 0, new AdviceSettings(20, 1, 2_000));
    JobSpec spec =
        new JobSpec(
            "slow", advised, "team", "payload", List.of(step), 0, 0, 0, simulation.time().now());
    simulation.submit(simulation.hosts().get(1), spec);
    simulation.time().run(500);
    assertThat(simulation.oracle().startCount()).isEqualTo(2);
    assertThat(simulation.oracle().violations()).isEmpty();
  }
}
