package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a host answers whose process gets too little processor time for its event loop. */
final class LaggingHostTest {
  private static final long PAUSE_MILLIS = 800;

  private ClusterSimulation simulation;
  private Host lagging;

  @BeforeEach
  void startThreeHosts() {
    simulation = new ClusterSimulation(23);
    List.of("a", "b", "c").forEach(simulation::addHost);
    simulation.addExecutor("x1", new Resources(8_000, 8_000, 0));
    simulation.time().run(3_000);
    lagging = simulation.hosts().stream().filter(h -> !h.isOwner()).findFirst().orElseThrow();
  }

  private JobSpec job(String id) {
    StepSpec step =
        StepSpec.builder().resources(new Resources(1_000, 1_000, 0)).estimateMillis(500).build();
    return new JobSpec(
        id,
        ClusterSimulation.queue("quick", 0, null),
        "team",
        "payload",
        List.of(step),
        0,
        0,
        0,
        simulation.time().now());
  }

  /** The event loop runs for 1 ms in 800 ms. */
  private void lag(int pauses) {
    for (int i = 0; i < pauses; i++) {
      lagging.pause(PAUSE_MILLIS);
      simulation.time().run(PAUSE_MILLIS + 1);
    }
  }

  private Outcome answer(JobSpec spec) {
    Future<Outcome> answer = simulation.submit(lagging, spec);
    simulation.time().run(40);
    return answer.result();
  }

  @Test
  void newSubmissionIsRefusedAndNeverRuns() {
    lag(3);
    JobSpec spec = job("new");
    Outcome outcome = answer(spec);
    assertThat(outcome).isInstanceOf(Outcome.Refused.class);
    assertThat(((Outcome.Refused) outcome).retryAfterSeconds()).isEqualTo(1);
    simulation.time().run(5_000);
    assertThat(simulation.oracle().isDone(spec)).isFalse();
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** The caller has not got the answer of another host and asks this one. */
  @Test
  void jobThatTheOwnerKnowsGetsItsOldAnswer() {
    JobSpec spec = job("known");
    Host other = simulation.hosts().stream().filter(h -> h != lagging).findFirst().orElseThrow();
    simulation.submit(other, spec);
    simulation.time().run(100);
    lag(3);
    assertThat(answer(spec)).isInstanceOf(Outcome.Accepted.class);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void queriesAndCancellationsAreServed() {
    simulation.taskWorkMillis(id -> 20_000L);
    JobSpec spec = job("known");
    assertThat(answer(spec)).isInstanceOf(Outcome.Accepted.class);
    lag(3);
    Future<Optional<JobState>> state = simulation.state(lagging, spec);
    Future<Outcome> cancelled = simulation.cancel(lagging, spec);
    simulation.time().run(40);
    assertThat(state.result()).hasValue(JobState.RUNNING);
    assertThat(cancelled.result()).isInstanceOf(Outcome.Accepted.class);
  }

  @Test
  void hostIsNotReadyUntilItsEventLoopHasCaughtUp() {
    EntryHost host = lagging.entry().orElseThrow();
    assertThat(host.isReady()).isTrue();
    lag(4);
    assertThat(host.isReady()).isFalse();
    simulation.time().run(2_000);
    assertThat(host.isReady()).isTrue();
    assertThat(answer(job("new"))).isInstanceOf(Outcome.Accepted.class);
    assertThat(simulation.logLines().stream().filter(l -> l.contains("EVENT_LOOP_LAGS")).count())
        .isEqualTo(1);
  }
}
