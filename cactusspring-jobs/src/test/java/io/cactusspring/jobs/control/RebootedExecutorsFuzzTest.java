package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.simulation.FakeExecutor;
import org.junit.jupiter.api.Test;

/**
 * Starts executors of one zone again under their ids and cuts them off soon afterwards, while tasks
 * of up to 12 s run, and checks that no task runs twice at the same time.
 */
final class RebootedExecutorsFuzzTest {
  private static final int SEEDS = Integer.getInteger("cactusspring.fuzz", 60);
  private static final long FIRST_SEED = Long.getLong("cactusspring.fuzz.first", 1);
  private static final boolean PRINT_LOG = Boolean.getBoolean("cactusspring.fuzz.log");

  private static final int EXECUTORS = 4;
  private static final int CYCLES = 3;
  private static final long CYCLE_MILLIS = 20_000;
  private static final long SUBMIT_MILLIS = 700;
  private static final int ANNOUNCE_MILLIS = 150;
  private static final Resources CAPACITY = new Resources(6_000, 6_000, 0);

  /** What happens besides. */
  private enum Variant {
    /** The owner stays. */
    ONE_OWNER,
    /** The owner is killed between the restart and the cut. */
    TAKEOVERS,
    /** A tenth of the calls gets no answer and is carried out late, also by a later boot. */
    LATE_CALLS
  }

  private static final class Play extends RebootPlay {
    private final Variant variant;

    Play(long seed, Variant variant) {
      super(seed);
      this.variant = variant;
      simulation.taskWorkMillis(id -> 200L + Math.floorMod(id.hashCode(), 12_000));
      for (int i = 0; i < EXECUTORS; i++) {
        addRebootingExecutor(CAPACITY);
        addSteadyExecutor(CAPACITY);
      }
    }

    void run() {
      simulation.time().run(10_000);
      simulation.faultFree(false);
      submitRepeatedly();
      for (int i = 0; i < CYCLES; i++) {
        disturb();
        simulation.time().run(CYCLE_MILLIS);
      }
      simulation.time().run(40_000);
      simulation.recordInternalErrors();
    }

    private void submitRepeatedly() {
      if (simulation.time().now() < 10_000 + (CYCLES - 1) * CYCLE_MILLIS) {
        submit(
            StepSpec.builder()
                .tasks(1 + random.nextInt(3))
                .resources(new Resources(400 + random.nextInt(1_200), 100, 0))
                .build());
        simulation.time().after(SUBMIT_MILLIS, this::submitRepeatedly);
      }
    }

    private void disturb() {
      long down = 50 + random.nextInt(900);
      long untilCut = down + random.nextInt(4_000);
      long cut = 6_000 + random.nextInt(4_000);
      rebooting().forEach(FakeExecutor::crash);
      simulation.time().after(down, () -> rebooting().forEach(e -> boot(e, ANNOUNCE_MILLIS)));
      simulation.time().after(untilCut, () -> rebooting().forEach(e -> e.silent(true)));
      simulation.time().after(untilCut + cut, () -> rebooting().forEach(e -> e.silent(false)));
      switch (variant) {
        case ONE_OWNER -> {}
        case TAKEOVERS -> simulation.time().after(random.nextLong(untilCut + 500), this::killOwner);
        case LATE_CALLS -> {
          delayedCallRate(0.1);
          simulation.time().after(CYCLE_MILLIS / 2, () -> delayedCallRate(0));
        }
      }
    }

    void check(long seed) {
      if (PRINT_LOG) {
        simulation.logLines().forEach(System.out::println);
      }
      assertWithMessage("seed %s", seed).that(simulation.oracle().violations()).isEmpty();
    }
  }

  /** Guards against a call that a later boot takes after the owner has heard of that boot. */
  @Test
  void noTaskRunsTwiceWhileCallsAreCarriedOutByALaterBoot() {
    play(Variant.LATE_CALLS);
  }

  /** As above, with a seed that once failed. */
  @Test
  void noTaskRunsTwiceThoughACallIsCarriedOutSecondsAfterTheReboot() {
    play(Variant.LATE_CALLS, 93);
  }

  private static void play(Variant variant) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      play(variant, seed);
    }
  }

  private static void play(Variant variant, long seed) {
    Play play = new Play(seed, variant);
    play.run();
    play.check(seed);
  }

  /**
   * Guards against a second run beside one on a boot that took a lease meant for the one before.
   */
  @Test
  void noTaskRunsTwiceWhileExecutorsRebootAndAreCutOff() {
    play(Variant.ONE_OWNER);
  }

  /** Guards against a new owner that expects shorter leases than an executor took in this way. */
  @Test
  void noTaskRunsTwiceWhenTheOwnerIsReplacedBetweenARebootAndACut() {
    play(Variant.TAKEOVERS);
  }
}
