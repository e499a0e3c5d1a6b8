package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.ShownStates;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Ends jobs while some of their runs go on and the store is slow by various degrees, so that their
 * records come to several lanes, and at times loses answers. Changes the owner at any moment, and
 * asks for the states of all accepted jobs before and after.
 */
final class EndedJobsFuzzTest {
  /** Number of seeds; the default is what CI runs, more with {@code -Dcactusspring.fuzz=N}. */
  private static final int SEEDS = Integer.getInteger("cactusspring.fuzz", 40);

  private static final long FIRST_SEED = Long.getLong("cactusspring.fuzz.first", 1);

  /** Prints the log of the hosts; intended for runs of one seed. */
  private static final boolean PRINT_LOG = Boolean.getBoolean("cactusspring.fuzz.log");

  private static final Queue QUEUE =
      new Queue("quick", "host", "/quick/", ClusterSimulation.SERVICE, 0, 1, 2, 250, null, false);

  private static final Resources TASK = new Resources(300, 100, 0);
  private static final Resources CAPACITY = new Resources(20_000, 20_000, 0);
  private static final int EXECUTORS = 8;

  /** How long the store usually takes for an answer, and a partition for an append. */
  private static final long USUAL_ANSWER_MILLIS = 4;

  private static final long USUAL_APPEND_MILLIS = 3;

  /** The store is slower than usual by this factor at most. */
  private static final int MAX_SLOWDOWN = 60;

  private static final long LOAD_MILLIS = 40_000;

  /** Time after which a change of the owner is over, also while the store is slow. */
  private static final long TAKEOVER_MILLIS = 6_000;

  private static final class Fuzz {
    private final Random random;
    private final ClusterSimulation simulation;
    private final ShownStates states;
    private int jobs;
    private long loadEndsAt;

    Fuzz(long seed) {
      random = new Random(seed);
      simulation = new ClusterSimulation(seed);
      states = new ShownStates(simulation, new Random(~seed));
      simulation.queues(List.of(QUEUE));
      simulation.taskWorkMillis(id -> 100L + Math.floorMod(id.hashCode(), 4_000));
      simulation.taskEnd(
          id -> Math.floorMod(id.hashCode(), 9) == 0 ? EndReason.FAILED : EndReason.DONE);
      List.of("a", "b", "c", "d").forEach(simulation::addHost);
      for (int i = 0; i < EXECUTORS; i++) {
        simulation.addExecutor("x" + i, CAPACITY);
      }
      simulation.time().run(2_500);
    }

    void run() {
      simulation.faultFree(false);
      loadEndsAt = simulation.time().now() + LOAD_MILLIS;
      changeStoreLatency();
      changeOwner(random.nextLong(LOAD_MILLIS));
      while (isUnderLoad()) {
        submit();
        simulation.time().run(random.nextInt(200));
      }
      // The last records are deleted with the sweep after the end of the last runs.
      simulation.time().run(12_000);
      simulation.hosts().forEach(h -> h.storeLink().answerLossRate(0));
      storeSlowdown(1 + random.nextInt(MAX_SLOWDOWN));
      states.ask();
      simulation.time().run(2_000);
      killOwner();
      simulation.time().run(TAKEOVER_MILLIS);
      storeSlowdown(1);
      states.ask();
      simulation.time().run(2_000);
      simulation.recordInternalErrors();
    }

    private boolean isUnderLoad() {
      return simulation.time().now() < loadEndsAt;
    }

    /** Makes the store slower or usual again, or lets it lose answers, until the load ends. */
    private void changeStoreLatency() {
      if (!isUnderLoad()) {
        return;
      }
      storeSlowdown(random.nextInt(3) == 0 ? 1 : 1 + random.nextInt(MAX_SLOWDOWN));
      double lossRate = random.nextInt(5) == 0 ? 0.1 : 0;
      simulation.hosts().forEach(h -> h.storeLink().answerLossRate(lossRate));
      simulation.time().after(500 + random.nextInt(5_000), this::changeStoreLatency);
    }

    private void storeSlowdown(int factor) {
      long appendMillis = USUAL_APPEND_MILLIS * (random.nextBoolean() ? factor : 1);
      simulation.storeMillis(USUAL_ANSWER_MILLIS * factor, appendMillis);
    }

    private void changeOwner(long delay) {
      simulation
          .time()
          .after(
              delay,
              () -> {
                states.ask();
                switch (random.nextInt(4)) {
                  case 0, 1 -> killOwner();
                  case 2 -> stopOwner();
                  default -> {
                    killOwner();
                    simulation.time().after(1_000 + random.nextInt(5_000), this::killOwner);
                  }
                }
                simulation.time().after(TAKEOVER_MILLIS, states::ask);
                changeOwner(8_000 + random.nextInt(20_000));
              });
    }

    private void killOwner() {
      simulation.hosts().stream().filter(Host::isOwner).forEach(Host::kill);
      simulation.time().after(500 + random.nextInt(3_000), this::restartHosts);
    }

    private void stopOwner() {
      simulation.hosts().stream().filter(Host::isOwner).forEach(h -> h.stop(1_000));
      simulation.time().after(2_000 + random.nextInt(3_000), this::restartHosts);
    }

    private void restartHosts() {
      simulation.hosts().stream().filter(h -> h.entry().isEmpty()).forEach(Host::start);
    }

    private void submit() {
      List<Host> up = simulation.hosts().stream().filter(h -> h.entry().isPresent()).toList();
      if (up.isEmpty()) {
        return;
      }
      StepSpec first = step(2).build();
      StepSpec last = step(4).after(List.of(0)).gang(random.nextInt(3) == 0).build();
      JobSpec spec =
          new JobSpec(
              "job" + jobs++,
              QUEUE,
              "team",
              "payload",
              List.of(first, last),
              0,
              0,
              0,
              simulation.time().now());
      Host host = up.get(random.nextInt(up.size()));
      simulation
          .submit(host, spec)
          .onSuccess(
              outcome -> {
                if (outcome instanceof Outcome.Accepted) {
                  states.accepted(spec);
                }
              });
    }

    private static StepSpec.Builder step(int tasks) {
      return StepSpec.builder().tasks(tasks).resources(TASK).estimateMillis(500).maxPerExecutor(1);
    }

    List<String> violations() {
      return simulation.oracle().violations();
    }
  }

  /** Guards against an ended job that is unknown after a change of the owner. */
  @Test
  void endedJobsStayKnownThroughChangesOfTheOwner() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Fuzz fuzz = new Fuzz(seed);
      fuzz.run();
      if (PRINT_LOG) {
        fuzz.simulation.logLines().forEach(System.out::println);
      }
      assertWithMessage("seed %s", seed).that(fuzz.violations()).isEmpty();
    }
  }

  /** Guards against a fuzz whose jobs do not end, or whose records come to one lane only. */
  @Test
  void jobsEndWhileSeveralLanesAreInUse() {
    Fuzz fuzz = new Fuzz(FIRST_SEED);
    fuzz.run();
    assertThat(fuzz.states.ended()).isAtLeast(100);
    assertThat(fuzz.states.ended()).isEqualTo(fuzz.states.acceptedJobs());
    assertThat(fuzz.simulation.lanes().get(1).appends()).isAtLeast(20);
  }

  /** Guards against an oracle that does not notice the deletion of a newest record. */
  @Test
  void deletionOfNewestRecordsIsNoticed() {
    boolean noticed =
        LongStream.rangeClosed(1, 20)
            .mapToObj(
                seed -> {
                  Fuzz fuzz = new Fuzz(seed);
                  fuzz.simulation.deleteNewestRecords();
                  fuzz.run();
                  return fuzz.violations();
                })
            .anyMatch(found -> found.stream().anyMatch(v -> v.contains("is not known")));
    assertThat(noticed).isTrue();
  }
}
