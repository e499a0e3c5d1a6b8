package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.AdviceTerms;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.FakeExecutor;
import io.cactusspring.jobs.simulation.WaitingWorkCheck;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Restarts all hosts in turn under load, kills them together at the end in most seeds, and checks
 * with a {@link WaitingWorkCheck} that accepted work that can run does run. All work needs advice.
 */
final class RollingRestartFuzzTest {
  /** Number of seeds; the default is what CI runs, more with {@code -Dcactusspring.fuzz=N}. */
  private static final int SEEDS = Integer.getInteger("cactusspring.fuzz", 4);

  private static final long FIRST_SEED = Long.getLong("cactusspring.fuzz.first", 6);

  /** Prints the log of the hosts; intended for runs of one seed. */
  private static final boolean PRINT_LOG = Boolean.getBoolean("cactusspring.fuzz.log");

  /** Prints the longest wait of each seed. */
  private static final boolean PRINT_WAITS = Boolean.getBoolean("cactusspring.fuzz.waits");

  private static final int HOSTS = 9;
  private static final int ORGANISATIONS = 6;
  private static final int MAX_SUBMISSIONS = 4;
  private static final long RETRY_MILLIS = 400;
  private static final long TRAFFIC_AFTER_KILL_MILLIS = 15_000;
  private static final double[] EXECUTOR_SIZES = {1.0, 1.0, 0.5, 2.0};

  /** What happens besides the restarts. */
  private enum Disturbance {
    NONE,
    EXECUTOR_REBOOTS,
    EXECUTORS_GONE,
    CRASHING_TASKS,
    CONFIGURATION_CHANGES,
    LATE_ORDERS,
    LOST_ANSWERS_OF_THE_STORE
  }

  /**
   * The jobs of a queue.
   *
   * @param allowedShare share of the executors that the advice service allows for a step
   * @param perSecond jobs that arrive in a second
   * @param steps mean number of steps of a job
   * @param tasks mean number of tasks of a step
   * @param resources mean resources of a task
   * @param workMillis mean duration of a task
   * @param gangPercent steps in a hundred that are gangs
   */
  private record Load(
      Queue queue,
      double allowedShare,
      double perSecond,
      double steps,
      double tasks,
      Resources resources,
      long workMillis,
      int gangPercent) {}

  private static final List<Load> LOADS =
      List.of(
          new Load(
              queue("short", 0, new AdviceSettings(30, 0.43, 2_000)),
              0.7,
              9.7,
              1.6,
              6,
              new Resources(2_500, 2_600, 0),
              1_000,
              0),
          new Load(
              queue("wide", 2, new AdviceSettings(430, 6.1, 2_000)),
              0.35,
              1.36,
              2,
              13,
              new Resources(5_500, 5_600, 0),
              3_000,
              8),
          new Load(
              queue("lasting", 1, new AdviceSettings(450, 6.5, 2_000)),
              0.35,
              0.12,
              1,
              8,
              new Resources(6_700, 9_700, 0),
              20_000,
              0));

  /** Returns when a task crashes its executor: one in a hundred of the wide jobs does. */
  private static OptionalLong crashDelayMillis(TaskId task) {
    int draw = Math.floorMod(task.hashCode() * 0x9E3779B9, 1_000);
    return task.job().startsWith("wide") && draw < 10
        ? OptionalLong.of(100L * draw)
        : OptionalLong.empty();
  }

  private static Organisation organisation(int number, int executors) {
    return new Organisation(
        "team" + number,
        Set.of("key" + number),
        1,
        new Resources(12_000 * executors, 24_000 * executors, 0));
  }

  private static Queue queue(String name, int priority, AdviceSettings advice) {
    return ClusterSimulation.queue(name, priority, advice);
  }

  private static final class Fuzz {
    private static final long PRINT_INTERVAL_MILLIS = 50;

    private final Random random;
    private final ClusterSimulation simulation;
    private final WaitingWorkCheck check;
    private final Disturbance disturbance;

    /** Whether the owner is the next host to be stopped, each time. */
    private final boolean ownersFirst;

    private final double loadFactor;

    /** Whether all hosts are killed at the end, or the last owner goes on. */
    private final boolean endsWithKill;

    private boolean traffic = true;
    private int submitted;

    Fuzz(long seed, boolean printLog) {
      random = new Random(seed * 0x9E3779B97F4A7C15L + 1);
      endsWithKill = seed % 3 != 0;
      simulation = new ClusterSimulation(seed);
      check = new WaitingWorkCheck(simulation);
      disturbance =
          random.nextBoolean()
              ? Disturbance.NONE
              : Disturbance.values()[random.nextInt(Disturbance.values().length)];
      ownersFirst = random.nextBoolean();
      int executors = 30 + random.nextInt(19);
      loadFactor = executors / 48.0 * (0.3 + 1.2 * random.nextDouble());
      simulation.lateCloses(random.nextInt(20));
      simulation.queues(LOADS.stream().map(Load::queue).toList());
      simulation.adviceTerms(
          LOADS.stream().collect(Collectors.toMap(l -> l.queue().name(), Fuzz::terms)));
      simulation.taskWorkMillis(this::workMillis);
      simulation.taskEnd(id -> random.nextInt(50) == 0 ? EndReason.FAILED : EndReason.DONE);
      if (disturbance == Disturbance.CRASHING_TASKS) {
        boolean keepsId = random.nextBoolean();
        simulation.keepsIdAfterCrash(e -> keepsId);
        simulation.crashDelayMillis(RollingRestartFuzzTest::crashDelayMillis);
        simulation.onCrashByTask(check::faultFor);
      }
      simulation.organisations(
          IntStream.range(0, ORGANISATIONS).mapToObj(i -> organisation(i, executors)).toList());
      simulation.faultFree(false);
      IntStream.range(0, HOSTS)
          .forEach(i -> simulation.addHost("h" + i, 400 + random.nextInt(800)));
      for (int i = 0; i < executors; i++) {
        double size = EXECUTOR_SIZES[random.nextInt(EXECUTOR_SIZES.length)];
        simulation.addExecutor(
            "x" + i, "zone", new Resources((int) (32_000 * size), (int) (65_536 * size), 0));
      }
      if (printLog) {
        System.out.println(
            disturbance + ", " + executors + " executors, load factor " + loadFactor);
        printLog(0);
      }
      simulation.time().run(2_500);
    }

    private static AdviceTerms terms(Load load) {
      return new AdviceTerms(load.queue().advice(), load.allowedShare());
    }

    /** Prints the lines that the hosts have logged, with the virtual time. */
    private void printLog(int printed) {
      List<String> lines = simulation.logLines();
      lines.stream()
          .skip(printed)
          .forEach(l -> System.out.println(simulation.time().now() + " " + l));
      simulation.time().after(PRINT_INTERVAL_MILLIS, () -> printLog(lines.size()));
    }

    /** All tasks of a step take about the same time. */
    private long workMillis(TaskId task) {
      int number = Integer.parseInt(task.job().substring(task.job().indexOf('-') + 1));
      Load load = LOADS.stream().filter(l -> isOf(task, l)).findFirst().orElseThrow();
      double spread =
          0.5 + new Random(number * 31L + task.step()).nextDouble() + (task.index() % 5) * 0.05;
      return Math.round(load.workMillis() * spread);
    }

    private static boolean isOf(TaskId task, Load load) {
      return task.job().startsWith(load.queue().name());
    }

    void run() {
      LOADS.forEach(this::arrive);
      simulation.time().run(2_000);
      restartAllInTurn(1_780 + random.nextInt(400));
      disturb();
      simulation.time().run(random.nextInt(3_000));
      if (endsWithKill) {
        simulation.hosts().forEach(this::killForAMoment);
      }
      simulation.time().run(TRAFFIC_AFTER_KILL_MILLIS);
      traffic = false;
      check.trafficEnded();
      simulation.time().run(WaitingWorkCheck.SETTLE_MILLIS + 1_000);
    }

    private void restartAllInTurn(long intervalMillis) {
      List<Host> left = new ArrayList<>(simulation.hosts());
      Collections.shuffle(left, random);
      while (!left.isEmpty()) {
        Host host =
            left.stream().filter(h -> ownersFirst && h.isOwner()).findFirst().orElse(left.get(0));
        left.remove(host);
        long servesMillis = 1_200 + random.nextInt(800);
        long downMillis = 500 + random.nextInt(700);
        host.stop(servesMillis);
        check.faultFor(servesMillis + downMillis);
        simulation.time().after(servesMillis + downMillis, () -> startUnlessUp(host));
        if (random.nextInt(3) == 0) {
          disturb();
        }
        simulation.time().run(intervalMillis);
      }
    }

    private void killForAMoment(Host host) {
      long downMillis = 700 + random.nextInt(300);
      host.kill();
      check.faultFor(downMillis);
      simulation.time().after(downMillis, () -> startUnlessUp(host));
    }

    private static void startUnlessUp(Host host) {
      if (host.entry().isEmpty()) {
        host.start();
      }
    }

    private void disturb() {
      FakeExecutor executor = randomExecutor();
      switch (disturbance) {
        case NONE -> {}
        case EXECUTOR_REBOOTS -> {
          executor.crash();
          if (random.nextBoolean()) {
            simulation.removeAnnouncement(executor);
          }
          during(200 + random.nextInt(4_000), () -> boot(executor));
        }
        case EXECUTORS_GONE -> {
          executor.crash();
          during(3_000 + random.nextInt(2_000), () -> simulation.removeAnnouncement(executor));
        }
        case CRASHING_TASKS -> {}
        case CONFIGURATION_CHANGES ->
            simulation.queues(
                LOADS.stream()
                    .map(Load::queue)
                    .map(q -> random.nextInt(3) == 0 ? queue(q.name(), q.priority(), null) : q)
                    .toList());
        case LATE_ORDERS -> {
          Host host = simulation.hosts().get(random.nextInt(HOSTS));
          host.executorLink().delayedCallRate(0.2);
          during(3_000, () -> host.executorLink().delayedCallRate(0));
        }
        case LOST_ANSWERS_OF_THE_STORE -> {
          simulation.hosts().forEach(h -> h.storeLink().answerLossRate(0.3));
          during(4_500, () -> simulation.hosts().forEach(h -> h.storeLink().answerLossRate(0)));
        }
      }
    }

    private void during(long millis, Runnable end) {
      check.faultFor(millis);
      simulation.time().after(millis, end);
    }

    private void boot(FakeExecutor executor) {
      if (!executor.isUp()) {
        executor.boot();
        simulation.announce(executor);
      }
    }

    private FakeExecutor randomExecutor() {
      List<FakeExecutor> up = simulation.executors().stream().filter(FakeExecutor::isUp).toList();
      return up.get(random.nextInt(up.size()));
    }

    /** Lets jobs of a queue arrive until the traffic ends. */
    private void arrive(Load load) {
      if (!traffic) {
        return;
      }
      submit(load);
      double meanMillis = 1_000 / (load.perSecond() * loadFactor);
      simulation
          .time()
          .after(Math.round(-Math.log(1 - random.nextDouble()) * meanMillis), () -> arrive(load));
    }

    private void submit(Load load) {
      JobSpec spec = job(load, load.queue().name() + "-" + submitted++);
      submit(spec, MAX_SUBMISSIONS);
      if (spec.steps().get(0).longRunning()) {
        long stays = load.workMillis() + random.nextInt(2 * (int) load.workMillis());
        simulation.time().after(stays, () -> cancel(spec));
      }
    }

    private JobSpec job(Load load, String id) {
      boolean lasts = load.queue().name().equals("lasting");
      int steps = lasts ? 1 : atLeastOne(load.steps() * (0.5 + random.nextDouble()));
      List<StepSpec> specs = new ArrayList<>();
      for (int i = 0; i < steps; i++) {
        boolean gang = random.nextInt(100) < load.gangPercent();
        double size = 0.5 + random.nextDouble();
        specs.add(
            StepSpec.builder()
                .tasks(atLeastOne(load.tasks() * (0.3 + 1.4 * random.nextDouble())))
                .resources(
                    new Resources(
                        (int) (load.resources().milliProcessors() * size),
                        (int) (load.resources().memoryMib() * size),
                        0))
                .estimateMillis(Math.round(load.workMillis() * (0.4 + 1.2 * random.nextDouble())))
                .after(i == 0 ? List.of() : List.of(i - 1))
                .gang(gang)
                .longRunning(lasts)
                .checkpoints(!lasts && random.nextBoolean())
                .fills(load.workMillis() > 1_000 && random.nextInt(8) == 0)
                .maxPerExecutor(random.nextInt(6) == 0 ? 2 : 0)
                .build());
      }
      long now = simulation.time().now();
      return new JobSpec(
          id, load.queue(), "team" + random.nextInt(ORGANISATIONS), "payload", specs, 0, 0, 0, now);
    }

    private static int atLeastOne(double value) {
      return (int) Math.max(1, Math.round(value));
    }

    private void submit(JobSpec spec, int attempts) {
      Optional<Host> host = randomReadyHost();
      if (host.isPresent()) {
        simulation
            .submit(host.get(), spec)
            .onSuccess(
                outcome -> {
                  switch (outcome) {
                    case Outcome.Accepted a -> check.accepted(spec);
                    case Outcome.Refused r -> submitAgain(spec, attempts - 1);
                    default -> {}
                  }
                });
      } else {
        submitAgain(spec, attempts - 1);
      }
    }

    private void submitAgain(JobSpec spec, int attempts) {
      if (attempts > 0 && traffic) {
        simulation.time().after(RETRY_MILLIS, () -> submit(spec, attempts));
      }
    }

    private void cancel(JobSpec spec) {
      check.cancelled(spec.id());
      randomReadyHost().ifPresent(h -> simulation.cancel(h, spec));
    }

    private Optional<Host> randomReadyHost() {
      List<Host> ready =
          simulation.hosts().stream()
              .filter(h -> h.entry().filter(EntryHost::isReady).isPresent())
              .toList();
      return ready.isEmpty()
          ? Optional.empty()
          : Optional.of(ready.get(random.nextInt(ready.size())));
    }
  }

  private static List<String> run(long seed) {
    Fuzz fuzz = new Fuzz(seed, PRINT_LOG);
    fuzz.run();
    if (PRINT_WAITS) {
      System.out.println(
          "seed "
              + seed
              + ", "
              + fuzz.disturbance
              + (fuzz.ownersFirst ? ", owners first" : "")
              + (fuzz.endsWithKill ? ", killed" : "")
              + ", load "
              + fuzz.loadFactor
              + ", longest wait "
              + fuzz.check.longestWaitMillis()
              + " ms: "
              + fuzz.check.longestWait());
    }
    fuzz.simulation.recordInternalErrors();
    return fuzz.simulation.oracle().violations();
  }

  /**
   * Guards against steps that wait for advice for long because few hosts are left to ask for it.
   */
  @Test
  void acceptedWorkRunsAfterAllHostsWereRestarted() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      assertWithMessage("seed %s", seed).that(run(seed)).isEmpty();
    }
  }
}
