package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what the log tells of where the time of a job went. */
final class JobStagesTest {
  private static final Resources CAPACITY = new Resources(4_000, 4_000, 0);
  private static final long WORK_MILLIS = 500;

  private ClusterSimulation simulation;
  private Host owner;

  @BeforeEach
  void startTwoHosts() {
    simulation = new ClusterSimulation(3);
    List.of("a", "b").forEach(simulation::addHost);
    simulation.addExecutor("x1", CAPACITY);
    simulation.taskWorkMillis(id -> WORK_MILLIS);
    simulation.time().run(3_000);
    owner = simulation.hosts().stream().filter(Host::isOwner).findFirst().orElseThrow();
  }

  private void submit(String id, int steps) {
    List<StepSpec> chain = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      chain.add(
          StepSpec.builder()
              .tasks(2)
              .resources(new Resources(2_000, 1_000, 0))
              .estimateMillis(WORK_MILLIS)
              .after(i == 0 ? List.of() : List.of(i - 1))
              .build());
    }
    simulation.submit(
        owner,
        new JobSpec(
            id,
            ClusterSimulation.queue("quick", 0, null),
            "team",
            "payload",
            chain,
            0,
            0,
            0,
            simulation.time().now()));
  }

  /** Returns a field of the line that tells of the end of a job. */
  private long millis(String job, String field) {
    Pattern pattern = Pattern.compile("\"" + field + "\":(\\d+)");
    List<Long> values =
        simulation.logLines().stream()
            .filter(l -> l.contains("CS2402") && l.contains("\"" + job + "\""))
            .map(pattern::matcher)
            .filter(Matcher::find)
            .map(m -> Long.valueOf(m.group(1)))
            .toList();
    assertThat(values).hasSize(1);
    return values.get(0);
  }

  @Test
  void stagesOfAChainOfStepsAddUpToTheTimeOfItsJob() {
    submit("j1", 3);
    simulation.time().run(4_000);
    long stages = 0;
    for (String stage :
        List.of("transfer", "earlierOwners", "retry", "advice", "room", "store", "start", "run")) {
      stages += millis("j1", stage + "Millis");
    }
    assertThat(stages).isEqualTo(millis("j1", "millis"));
    assertThat(millis("j1", "runMillis")).isAtLeast(3 * WORK_MILLIS);
  }

  @Test
  void waitBehindOtherWorkIsAWaitForRoom() {
    submit("first", 1);
    submit("second", 1);
    simulation.time().run(4_000);
    assertThat(millis("first", "roomMillis")).isLessThan(100);
    assertThat(millis("second", "roomMillis")).isAtLeast(WORK_MILLIS);
  }

  /** The store answers late, so that a start that was decided is sent late. */
  @Test
  void startThatWaitsForTheStoreShowsThat() {
    owner.storeLink().extraLatencyMillis(300);
    submit("j1", 1);
    simulation.time().run(6_000);
    assertThat(millis("j1", "storeMillis")).isAtLeast(300);
    assertThat(millis("j1", "roomMillis")).isLessThan(100);
  }

  /** The executor goes silent while it runs the tasks, which run again once it is back. */
  @Test
  void lostRunsAreShownAsRetries() {
    submit("j1", 1);
    simulation.time().run(200);
    simulation.executors().get(0).crash();
    simulation.time().run(100);
    simulation.restart(simulation.executors().get(0));
    simulation.time().run(8_000);
    assertThat(millis("j1", "retryMillis")).isAtLeast(100);
  }

  /** Guards against a wait under an earlier owner that looks like a slow entry host or inbox. */
  @Test
  void timeBeforeATakeoverIsThatOfEarlierOwners() {
    submit("first", 4);
    submit("second", 1);
    simulation.time().run(300);
    owner.kill();
    simulation.time().run(200);
    owner.start();
    simulation.time().run(30_000);
    assertThat(millis("second", "earlierOwnersMillis")).isAtLeast(300);
    assertThat(millis("second", "transferMillis")).isEqualTo(0);
  }
}
