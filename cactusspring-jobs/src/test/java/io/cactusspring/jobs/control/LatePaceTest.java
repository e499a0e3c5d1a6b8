package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.simulation.FakeExecutor;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs a filling task beside a serving one that is over its target at times, while calls to their
 * executor get no answer or are carried out late.
 */
final class LatePaceTest {
  private static final long SEEDS = 20;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long FAULT_MILLIS = 20_000;

  /** Longer than a call is late, and than the pace takes to rise from 0. */
  private static final long REST_MILLIS = 25_000;

  private static final double FAULT_RATE = 0.2;
  private static final int TARGET_MILLIS = 100;
  private static final int FULL_PACE = 100;

  private static final class Play extends RebootPlay {
    private final FakeExecutor executor;

    Play(long seed) {
      super(seed);
      addSteadyExecutor(new Resources(4_000, 4_000, 0));
      executor = simulation.executors().get(0);
      simulation.taskWorkMillis(id -> 10 * FAULT_MILLIS);
    }

    private StepSpec.Builder task() {
      return StepSpec.builder().tasks(1).resources(new Resources(500, 100, 0));
    }

    void run() {
      simulation.time().run(SETTLE_MILLIS);
      submit(task().longRunning(true).targetMillis(TARGET_MILLIS).build());
      submit(task().fills(true).build());
      simulation.time().run(SETTLE_MILLIS);
      simulation.faultFree(false);
      faults(FAULT_RATE);
      changeLatency();
      simulation.time().run(FAULT_MILLIS);
      faults(0);
      simulation.time().run(REST_MILLIS);
    }

    private void faults(double rate) {
      delayedCallRate(rate);
      simulation.hosts().forEach(h -> h.executorLink().answerLossRate(rate));
    }

    private void changeLatency() {
      boolean over = simulation.time().now() < FAULT_MILLIS && random.nextBoolean();
      executor.servingLatencyMillis(over ? 2 * TARGET_MILLIS : 0);
      simulation.time().after(1_000, this::changeLatency);
    }

    int pace() {
      return executor.pace(new TaskId("job1", 0, 0, 0));
    }
  }

  /** Guards against a task that waits for ever because an earlier pace is carried out late. */
  @Test
  void fillingTaskWorksAtFullPaceOnceItsNeighbourIsFarFromItsTarget() {
    LongStream.rangeClosed(1, SEEDS)
        .forEach(
            seed -> {
              Play play = new Play(seed);
              play.run();
              assertWithMessage("seed %s", seed).that(play.pace()).isEqualTo(FULL_PACE);
            });
  }
}
