package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.FakeExecutor;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that runs of a job that has ended count against the limit of its organisation until they
 * are over, on an executor that is cut off, while the owner changes.
 */
final class EndedJobRunsTest {
  private static final Resources TASK = new Resources(2_000, 100, 0);
  private static final Resources CAPACITY = new Resources(8_000, 8_000, 0);
  private static final int LIMIT = 4;

  private ClusterSimulation simulation;
  private int most;

  @BeforeEach
  void startHosts() {
    simulation = new ClusterSimulation(9);
    most = 0;
    simulation.taskWorkMillis(id -> 60_000L);
    List.of("a", "b", "c").forEach(simulation::addHost);
    List.of("x1", "x2").forEach(id -> simulation.addExecutor(id, "zone", CAPACITY));
    simulation.limit(TASK.times(LIMIT));
    simulation.time().run(20_000);
  }

  private JobSpec submit(String job) {
    StepSpec step = StepSpec.builder().tasks(LIMIT).resources(TASK).maxPerExecutor(LIMIT).build();
    JobSpec spec =
        new JobSpec(
            job, ClusterSimulation.queue("quick", 0, null), "team", "p", List.of(step), 0, 0, 0, 0);
    simulation.submit(simulation.hosts().get(0), spec);
    run(500);
    return spec;
  }

  private long running(String job) {
    return simulation.executors().stream()
        .flatMap(e -> e.tasks().stream())
        .filter(t -> t.job().equals(job))
        .count();
  }

  /** Advances the time and notes the most tasks that ran at a time. */
  private void run(long millis) {
    for (long end = simulation.time().now() + millis; simulation.time().now() < end; ) {
      simulation.time().run(10);
      int tasks = simulation.executors().stream().mapToInt(e -> e.tasks().size()).sum();
      most = Math.max(most, tasks);
    }
  }

  private Host owner() {
    return simulation.hosts().stream().filter(Host::isOwner).findFirst().orElseThrow();
  }

  private Host otherHost() {
    return simulation.hosts().stream()
        .filter(h -> !h.isOwner() && h.entry().isPresent())
        .findFirst()
        .orElseThrow();
  }

  private List<FakeExecutor> executorsOf(String job) {
    return simulation.executors().stream()
        .filter(e -> e.tasks().stream().anyMatch(t -> t.job().equals(job)))
        .toList();
  }

  /** Guards against a hand-over that forgets the runs of a job which was cancelled before. */
  @Test
  void runsOfACancelledJobCountAfterAHandOver() {
    for (long pause = 0; pause <= 1_000; pause += 200) {
      startHosts();
      JobSpec first = submit("first");
      assertThat(running("first")).isEqualTo(LIMIT);
      executorsOf("first").forEach(e -> e.silent(true));
      submit("second");
      simulation.cancel(otherHost(), first);
      run(200 + pause);
      owner().entry().orElseThrow().drain();
      run(15_000);
      assertWithMessage("pause %s ms", pause).that(most).isAtMost(LIMIT);
      assertWithMessage("pause %s ms", pause).that(running("second")).isGreaterThan(0);
      assertThat(simulation.oracle().violations()).isEmpty();
    }
  }

  /** As above, with two hand-overs and an owner that is killed. */
  @Test
  void runsOfACancelledJobCountAfterSeveralTakeovers() {
    JobSpec first = submit("first");
    executorsOf("first").forEach(e -> e.silent(true));
    submit("second");
    simulation.cancel(otherHost(), first);
    run(300);
    owner().entry().orElseThrow().drain();
    run(1_000);
    owner().kill();
    run(15_000);
    assertThat(most).isAtMost(LIMIT);
    assertThat(running("second")).isGreaterThan(0);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** Guards against a wait for runs that ended before the hand-over. */
  @Test
  void runsThatEndedBeforeTheHandOverDoNotCount() {
    JobSpec first = submit("first");
    List<FakeExecutor> executors = executorsOf("first");
    simulation.cancel(otherHost(), first);
    run(3_000);
    assertThat(running("first")).isEqualTo(0);
    executors.forEach(e -> e.silent(true));
    Host last = owner();
    last.entry().orElseThrow().drain();
    run(1_500);
    executors.forEach(FakeExecutor::crash);
    submit("second");
    run(1_000);
    assertThat(running("second")).isEqualTo(LIMIT);
  }
}
