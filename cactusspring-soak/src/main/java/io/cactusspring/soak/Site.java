package io.cactusspring.soak;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.ServiceDefinition;
import io.cactusspring.platform.standin.Deployment;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** The deployment that the soak runs: queues, organisations, and executors of unequal size. */
final class Site {
  static final String SERVICE = "tasks";
  static final int MAX_ATTEMPTS = 6;
  static final List<String> ZONES = List.of("z1", "z2", "z3");
  static final AdviceSettings ADVICE = new AdviceSettings(10, 0.2, 2_500);
  static final Queue QUICK = queue("quick", 0, 1.5, 250, null);
  static final Queue ADVISED = queue("advised", 0, 1.5, 400, ADVICE);
  static final Queue SERVING = queue("serving", 1, 2, 1_000, null);
  static final Queue BATCH = queue("batch", 2, 2.2, 1_200, null);

  /**
   * Jobs of this queue may fail in one run only; a run that counts twice uses up their attempts.
   */
  static final Queue FRAGILE =
      new Queue("fragile", "soak.example", "/fragile/", SERVICE, 1, 2, 1.5, 400, null, false);

  /** Queues that operators add and remove again, and one that never exists. */
  static final Queue EXTRA = queue("extra", 0, 1.5, 250, null);

  static final Queue OPEN =
      new Queue("open", "soak.example", "/open/", SERVICE, 0, MAX_ATTEMPTS, 1.5, 250, null, true);
  static final Queue UNKNOWN = queue("unknown", 0, 1.5, 250, null);

  /** The organisation with the most jobs. */
  static final String LARGE = "org0";

  /** The organisation whose first key can be withdrawn; it has a second one. */
  static final String ROTATING = "org2";

  /** The organisation that operators add keys for and remove them again. */
  static final String EXTRA_KEY_OWNER = "org1";

  /** The organisation whose running tasks are limited. */
  private static final String LIMITED = "org3";

  static final int ORGANISATIONS = 5;
  private static final Resources LIMIT = new Resources(32_000, 0, 0);
  private static final int EXECUTORS = 10;
  private static final int PROCESSORS = 16_000;
  private static final double[] SIZES = {1, 0.5, 1, 2, 1};

  /** Clocks of executors may be 2% slow. */
  private static final int[] CLOCK_PERCENTS = {100, 98, 99};

  private static final double[] SPEEDS = {1.0, 0.8, 1.25, 1.0, 1.7};

  private Site() {}

  /**
   * An executor's fixed properties.
   *
   * @param durationFactor duration of a task relative to a normal executor
   * @param clockPercent speed of the executor's clock
   */
  record ExecutorShape(
      String id, String zone, Resources capacity, double durationFactor, int clockPercent) {}

  private static Queue queue(
      String name, int priority, double stretch, long latencyMillis, AdviceSettings advice) {
    return new Queue(
        name,
        "soak.example",
        "/" + name + "/",
        SERVICE,
        priority,
        MAX_ATTEMPTS,
        stretch,
        latencyMillis,
        advice,
        false);
  }

  static List<ExecutorShape> executors() {
    return IntStream.range(0, EXECUTORS)
        .mapToObj(
            i -> {
              double size = SIZES[i % SIZES.length];
              Resources capacity =
                  new Resources(Math.round(PROCESSORS * size), Math.round(32_768 * size), 0);
              // Sizes and speeds vary with different periods, so that all pairs occur.
              double factor = SPEEDS[i * 2 % SPEEDS.length];
              // Zones have a period of 3, too; the shift keeps clocks and zones independent.
              int clock = CLOCK_PERCENTS[(i + i / 3) % CLOCK_PERCENTS.length];
              return new ExecutorShape(
                  "x" + i, ZONES.get(i % ZONES.size()), capacity, factor, clock);
            })
        .toList();
  }

  /** Returns whether the advice service allows an executor; one is never allowed. */
  static boolean adviceAllows(String executor) {
    return !executor.matches("x0(-\\d+)?");
  }

  static List<Organisation> organisations() {
    return IntStream.range(0, ORGANISATIONS)
        .mapToObj(
            i -> {
              String name = "org" + i;
              return new Organisation(
                  name,
                  Set.of(firstKey(name), secondKey(name)),
                  name.equals(LARGE) ? 4 : 2,
                  name.equals(LIMITED) ? LIMIT : Resources.NONE);
            })
        .toList();
  }

  static String firstKey(String organisation) {
    return organisation + "-a";
  }

  static String secondKey(String organisation) {
    return organisation + "-b";
  }

  static Deployment deployment() {
    return new Deployment(
        1,
        List.of(QUICK, ADVISED, SERVING, BATCH, FRAGILE),
        List.of(new ServiceDefinition(SERVICE, false)),
        organisations());
  }
}
