package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a host decides by a configuration that it could not read for some time. */
final class ConfigurationFreshnessTest {
  private static final Optional<String> KEY = Optional.of("key");
  private static final Queue QUICK = ClusterSimulation.queue("quick", 0, null);
  private static final Queue OPEN =
      new Queue("open", "host", "/open/", ClusterSimulation.SERVICE, 0, 3, 2, 250, null, true);

  private ClusterSimulation simulation;
  private Host host;

  @BeforeEach
  void startThreeHosts() {
    simulation = new ClusterSimulation(5);
    publish(QUICK, OPEN);
    List.of("a", "b", "c").forEach(simulation::addHost);
    simulation.addExecutor("x1", new Resources(8_000, 8_000, 0));
    simulation.time().run(5_000);
    host = simulation.hosts().stream().filter(h -> !h.isOwner()).findFirst().orElseThrow();
  }

  private void publish(Queue... queues) {
    simulation.configure(
        List.of(queues), List.of(new Organisation("team", Set.of("key"), 1, Resources.NONE)));
  }

  private Resolution resolve(String path, Optional<String> key) {
    Future<Resolution> answer = simulation.request(host, "host", path, key);
    simulation.time().run(5);
    return answer.result();
  }

  private void cutOff() {
    host.disturbed(60_000);
    host.storeLink().disconnected(true);
  }

  @Test
  void hostThatIsCutOffGrantsKeysUpToTheBoundOfRevocation() {
    cutOff();
    simulation.time().run(2_500);
    assertThat(resolve("/quick/", KEY)).isInstanceOf(Resolution.Granted.class);
    simulation.time().run(2_500);
    assertThat(resolve("/quick/", KEY)).isInstanceOf(Resolution.Undetermined.class);
  }

  @Test
  void hostThatIsCutOffGoesOnServingOpenQueues() {
    cutOff();
    simulation.time().run(20_000);
    assertThat(resolve("/open/", Optional.empty())).isInstanceOf(Resolution.Granted.class);
  }

  @Test
  void hostThatIsCutOffRefusesNothingAsMissing() {
    cutOff();
    simulation.time().run(2_500);
    assertThat(resolve("/missing/", KEY)).isInstanceOf(Resolution.Undetermined.class);
    assertThat(resolve("/quick/", Optional.of("unknown")))
        .isInstanceOf(Resolution.Undetermined.class);
  }

  /** Guards against refusals of known callers at the beginning of each cut. */
  @Test
  void hostThatIsCutOffHardlyEverFailsToDecide() {
    cutOff();
    int undetermined = 0;
    for (int i = 0; i < 250; i++) {
      undetermined += resolve("/quick/", KEY) instanceof Resolution.Undetermined ? 1 : 0;
      simulation.time().run(5);
    }
    assertThat(undetermined).isAtMost(25);
  }

  /** Guards against a host that waits on dead connections and serves by a replaced version. */
  @Test
  void removedQueueIsNotServedWhenOpenConnectionsHaveGoneSilent() {
    host.storeLink().silenceOpenConnections(3);
    host.disturbed(0);
    publish(QUICK);
    simulation.time().run(3_000);
    assertThat(resolve("/open/", Optional.empty())).isInstanceOf(Resolution.NoQueue.class);
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  @Test
  void requestsAreDecidedAllTheTimeWhileOpenConnectionsAreSilent() {
    host.storeLink().silenceOpenConnections(3);
    host.disturbed(0);
    for (int i = 0; i < 800; i++) {
      assertThat(resolve("/quick/", KEY)).isInstanceOf(Resolution.Granted.class);
      assertThat(resolve("/missing/", KEY)).isInstanceOf(Resolution.NoQueue.class);
    }
  }

  /** The answers of the store lie in the socket while requests are decided. */
  @Test
  void hostWhoseEventLoopLagsIsNotTakenForOneThatIsCutOff() {
    host.storeLink().extraLatencyMillis(10_000);
    for (int i = 0; i < 30; i++) {
      host.pause(400);
      simulation.time().run(401);
    }
    assertThat(resolve("/quick/", KEY)).isInstanceOf(Resolution.Undetermined.class);
    assertThat(resolve("/open/", Optional.empty())).isInstanceOf(Resolution.Undetermined.class);
  }

  /**
   * Guards against a host that decides nothing while it loads a topic whose history was dropped.
   */
  @Test
  void hostGoesOnDecidingWhileItLoadsTheTopicAgain() {
    host.disturbed(60_000);
    host.storeLink().extraLatencyMillis(60);
    simulation.time().run(5_000);
    host.storeLink().disconnected(true);
    publish(QUICK, OPEN);
    simulation.operators().compact();
    simulation.time().run(300);
    host.storeLink().disconnected(false);
    for (int i = 0; i < 200; i++) {
      assertThat(resolve("/quick/", KEY)).isInstanceOf(Resolution.Granted.class);
    }
  }

  /** Guards against a wait at the store that suits one bound only. */
  @Test
  void hostOfADeploymentWithAShortBoundDecidesAllTheTime() {
    simulation.configurationBounds(new ConfigurationBounds(1_000, 5_000));
    host.kill();
    host.start();
    simulation.time().run(4_000);
    for (int i = 0; i < 400; i++) {
      assertThat(resolve("/quick/", KEY)).isInstanceOf(Resolution.Granted.class);
    }
  }

  @Test
  void suspendedHostDecidesAgainOnceItHasReadTheConfiguration() {
    host.suspend(5_000);
    host.stepWallClock(-4_000);
    host.disturbed(5_000);
    simulation.time().run(5_100);
    assertThat(resolve("/quick/", KEY)).isInstanceOf(Resolution.Granted.class);
  }

  @Test
  void hostThatComesBackReadsTheNewestVersion() {
    cutOff();
    simulation.time().run(8_000);
    publish(QUICK);
    host.storeLink().disconnected(false);
    simulation.time().run(1_500);
    assertThat(resolve("/open/", Optional.empty())).isInstanceOf(Resolution.NoQueue.class);
    assertThat(resolve("/quick/", KEY)).isInstanceOf(Resolution.Granted.class);
  }
}
