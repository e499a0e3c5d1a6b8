package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.ConfigurationHistory;
import io.cactusspring.jobs.simulation.FakeExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Fuzz test of the configuration: operators add, move and remove queues and keys while hosts lose
 * their connections, pause and restart, and each decision is checked against the versions that may
 * have been in force.
 */
final class ConfigurationFuzzTest {
  private static final int SEEDS = Integer.getInteger("cactusspring.fuzz", 60);
  private static final long FIRST_SEED = Long.getLong("cactusspring.fuzz.first", 1);
  private static final boolean PRINT_LOG = Boolean.getBoolean("cactusspring.fuzz.log");

  private static final long RUN_MILLIS = 25_000;
  private static final String OTHER_SERVICE = "other";
  private static final String CALLER_HOST = "host";
  private static final Resources CAPACITY = new Resources(64_000, 64_000, 0);

  private static final List<String> PATHS =
      List.of("/steady/", "/moving/", "/extra/", "/open/", "/never/");
  private static final List<Optional<String>> KEYS =
      List.of(Optional.of("key"), Optional.of("spare"), Optional.of("never"), Optional.empty());

  private static final class Fuzz {
    private final Random random;
    private final ClusterSimulation simulation;
    private final Set<Disturbance> disturbances;
    private boolean extra;
    private boolean open;
    private boolean moved;
    private boolean spareKey = true;
    private int jobs;

    Fuzz(long seed, Set<Disturbance> disturbances, Consumer<ClusterSimulation> injectedFault) {
      this.disturbances = disturbances;
      random = new Random(seed);
      simulation = new ClusterSimulation(seed);
      injectedFault.accept(simulation);
      simulation.services(Set.of(ClusterSimulation.SERVICE, OTHER_SERVICE));
      publish();
      List.of("a", "b", "c").forEach(simulation::addHost);
      for (int i = 0; i < 4; i++) {
        FakeExecutor executor = simulation.addExecutor("x" + i, CAPACITY);
        executor.service(i % 2 == 0 ? ClusterSimulation.SERVICE : OTHER_SERVICE);
        simulation.announce(executor);
      }
      simulation.time().run(4_000);
    }

    private void publish() {
      List<Queue> queues = new ArrayList<>();
      queues.add(queue("steady", ClusterSimulation.SERVICE, false));
      queues.add(queue("moving", moved ? OTHER_SERVICE : ClusterSimulation.SERVICE, false));
      if (extra) {
        queues.add(queue("extra", ClusterSimulation.SERVICE, false));
      }
      if (open) {
        queues.add(queue("open", ClusterSimulation.SERVICE, true));
      }
      Set<String> keys = spareKey ? Set.of("key", "spare") : Set.of("key");
      simulation.configure(
          queues, List.of(new Organisation("team", keys, 1, new Resources(0, 0, 0))));
    }

    private static Queue queue(String name, String service, boolean open) {
      return new Queue(name, CALLER_HOST, "/" + name + "/", service, 0, 3, 2, 250, null, open);
    }

    void run() {
      every(() -> 20 + random.nextInt(80), this::sendRequest);
      every(() -> 100 + random.nextInt(300), this::sendJob);
      every(() -> 200 + random.nextInt(3_000), this::changeConfiguration);
      every(() -> 500 + random.nextInt(5_000), this::disturb);
      simulation.time().run(RUN_MILLIS);
    }

    private void every(IntSupplier millis, Runnable action) {
      simulation
          .time()
          .after(
              millis.getAsInt(),
              () -> {
                action.run();
                every(millis, action);
              });
    }

    private Optional<Host> randomRunningHost() {
      List<Host> up = simulation.hosts().stream().filter(h -> h.entry().isPresent()).toList();
      return up.isEmpty() ? Optional.empty() : Optional.of(up.get(random.nextInt(up.size())));
    }

    private void sendRequest() {
      String path = PATHS.get(random.nextInt(PATHS.size()));
      Optional<String> key = KEYS.get(random.nextInt(KEYS.size()));
      randomRunningHost().ifPresent(h -> simulation.request(h, CALLER_HOST, path, key));
    }

    private void sendJob() {
      String id = "job" + jobs++;
      StepSpec step =
          StepSpec.builder().resources(new Resources(500, 100, 0)).estimateMillis(500).build();
      long now = simulation.time().now();
      randomRunningHost()
          .ifPresent(
              h ->
                  simulation.submitRouted(
                      h,
                      CALLER_HOST,
                      "/moving/",
                      "key",
                      granted ->
                          new JobSpec(
                              id,
                              granted.queue(),
                              granted.organisation(),
                              "payload",
                              List.of(step),
                              0,
                              0,
                              0,
                              now)));
    }

    private void changeConfiguration() {
      switch (random.nextInt(5)) {
        case 0 -> extra = !extra;
        case 1 -> open = !open;
        case 2 -> moved = !moved;
        case 3 -> spareKey = !spareKey;
        default -> {}
      }
      publish();
    }

    private void disturb() {
      List<Disturbance> kinds = disturbances.stream().sorted().toList();
      if (!kinds.isEmpty()) {
        List<Host> hosts = simulation.hosts();
        kinds
            .get(random.nextInt(kinds.size()))
            .strike(simulation, hosts.get(random.nextInt(hosts.size())), random);
      }
    }
  }

  /** What delays the configuration at a host. */
  private enum Disturbance {
    OPEN_CONNECTIONS_SILENT {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        simulation
            .hosts()
            .forEach(
                h -> {
                  h.storeLink().silenceOpenConnections(random.nextInt(5));
                  h.disturbed(0);
                });
      }
    },
    CUT_OFF {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        long millis = 300 + random.nextInt(6_000);
        host.disturbed(millis);
        host.storeLink().disconnected(true);
        simulation.time().after(millis, () -> host.storeLink().disconnected(false));
      }
    },
    STORE_SLOW {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        long millis = 1_000 + random.nextInt(4_000);
        simulation.hosts().forEach(h -> h.disturbed(millis));
        simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(400));
        simulation
            .time()
            .after(
                millis, () -> simulation.hosts().forEach(h -> h.storeLink().extraLatencyMillis(0)));
      }
    },
    ANSWERS_LOST {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        long millis = 500 + random.nextInt(4_000);
        host.disturbed(millis);
        host.storeLink().answerLossRate(0.4);
        simulation.time().after(millis, () -> host.storeLink().answerLossRate(0));
      }
    },
    HISTORY_DROPPED {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        simulation.operators().compact();
      }
    },
    RESTARTED {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        if (host.entry().isPresent()) {
          host.kill();
          simulation.time().after(200 + random.nextInt(2_000), host::start);
        }
      }
    },
    PAUSED {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        long millis = 200 + random.nextInt(6_000);
        host.disturbed(millis);
        host.pause(millis);
      }
    },
    SUSPENDED {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        long millis = 3_000 + random.nextInt(4_000);
        host.disturbed(millis);
        host.suspend(millis);
      }
    },
    SUSPENDED_WITH_CLOCK_SET_BACK {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        long millis = 3_000 + random.nextInt(4_000);
        host.disturbed(millis);
        host.suspend(millis);
        host.stepWallClock(-random.nextInt((int) millis + 3_000));
      }
    },
    CLOCK_SET {
      @Override
      void strike(ClusterSimulation simulation, Host host, Random random) {
        host.disturbed(0);
        host.stepWallClock(random.nextInt(10_000) - 5_000);
      }
    };

    /** Begins, and ends later. */
    abstract void strike(ClusterSimulation simulation, Host host, Random random);
  }

  private static List<String> violations(
      long seed, Set<Disturbance> disturbances, Consumer<ClusterSimulation> injectedFault) {
    Fuzz fuzz = new Fuzz(seed, disturbances, injectedFault);
    fuzz.run();
    fuzz.simulation.recordInternalErrors();
    if (PRINT_LOG) {
      fuzz.simulation.logLines().forEach(System.out::println);
    }
    return fuzz.simulation.oracle().violations();
  }

  private static void assertNoViolations(Set<Disturbance> disturbances) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      assertWithMessage("seed %s", seed)
          .that(violations(seed, disturbances, simulation -> {}))
          .isEmpty();
    }
  }

  @Test
  void eachDecisionRestsOnAVersionInForceWithoutDisturbances() {
    assertNoViolations(Set.of());
  }

  @Test
  void eachDecisionRestsOnAVersionInForceUnderRandomDisturbances() {
    assertNoViolations(
        Set.of(
            Disturbance.CUT_OFF,
            Disturbance.STORE_SLOW,
            Disturbance.ANSWERS_LOST,
            Disturbance.HISTORY_DROPPED,
            Disturbance.RESTARTED,
            Disturbance.PAUSED,
            Disturbance.SUSPENDED,
            Disturbance.CLOCK_SET));
  }

  /**
   * Guards against a host that serves by a replaced version because it waits on dead connections.
   */
  @Test
  void eachDecisionRestsOnAVersionInForceWhileOpenConnectionsGoSilent() {
    assertNoViolations(Set.of(Disturbance.OPEN_CONNECTIONS_SILENT));
  }

  /** Guards against a revoked key that works because both clocks of the host understate its age. */
  @Test
  void eachDecisionRestsOnAVersionInForceWhileSuspendedMachinesGetTheirClocksSetBack() {
    assertNoViolations(Set.of(Disturbance.SUSPENDED_WITH_CLOCK_SET_BACK));
  }

  /** Returns whether a seed breaks a check whose message contains a text. */
  private static boolean isNoticed(
      String message, Set<Disturbance> disturbances, Consumer<ClusterSimulation> injectedFault) {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
        .anyMatch(
            seed ->
                violations(seed, disturbances, injectedFault).stream()
                    .anyMatch(v -> v.contains("configuration") && v.contains(message)));
  }

  @Test
  void injectedHostThatIgnoresEveryOddVersionIsNoticedByItsAnswers() {
    assertThat(
            isNoticed(
                "is allowed by no version",
                Set.of(),
                simulation ->
                    simulation.ignoredVersions((host, version) -> version > 3 && version % 2 == 1)))
        .isTrue();
  }

  @Test
  void injectedOwnerThatTakesNoLaterVersionIsNoticedByItsStarts() {
    assertThat(
            isNoticed(
                "starts on",
                Set.of(),
                simulation -> simulation.ignoredVersions((host, version) -> host.isOwner())))
        .isTrue();
  }

  @Test
  void injectedHostThatAcceptsKeysAtAnyAgeIsNoticedByARevokedKey() {
    assertThat(
            isNoticed(
                "with a key that was revoked",
                Set.of(Disturbance.CUT_OFF),
                simulation ->
                    simulation.configurationBounds(new ConfigurationBounds(2_000, Long.MAX_VALUE))))
        .isTrue();
  }

  /** A host that decides by an older version than before, though both may be in force. */
  @Test
  void answerByAnOlderVersionThanTheProcessHasShownIsNoticed() {
    ConfigurationHistory history =
        new ConfigurationHistory(new ConfigurationHistory.Bounds(2_000, 5_000, 250));
    history.acknowledged(1, List.of(), List.of(), 0);
    history.acknowledged(2, List.of(Fuzz.queue("open", "service", true)), List.of(), 10_000);
    assertThat(history.check(answer(10_100, ConfigurationHistory.Verdict.SERVED))).isEmpty();
    assertThat(history.check(answer(10_200, ConfigurationHistory.Verdict.NO_QUEUE))).isEmpty();
    assertThat(history.check(answer(10_400, ConfigurationHistory.Verdict.NO_QUEUE))).isPresent();
  }

  private static ConfigurationHistory.Answer answer(
      long sentAt, ConfigurationHistory.Verdict verdict) {
    return new ConfigurationHistory.Answer(
        "a#1", CALLER_HOST, "/open/", Optional.empty(), sentAt, sentAt + 5, verdict, true);
  }
}
