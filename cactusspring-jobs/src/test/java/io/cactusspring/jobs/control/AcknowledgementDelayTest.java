package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import java.util.IdentityHashMap;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests after what time ends are acknowledged to an executor that gets starts all the time. */
final class AcknowledgementDelayTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final long LOAD_MILLIS = 10_000;
  private static final long TASK_MILLIS = 200;

  private static final class Play extends RebootPlay {
    private final Map<EndedRun, Long> endedAt = new IdentityHashMap<>();
    private long longest;

    Play(long latencyMillis) {
      super(1);
      simulation.taskWorkMillis(id -> TASK_MILLIS + Math.floorMod(id.hashCode(), 100));
      addSteadyExecutor(new Resources(400_000, 400_000, 0));
      simulation.hosts().forEach(h -> h.executorLink().extraLatencyMillis(latencyMillis));
      simulation.onRunEnded(end -> endedAt.put(end, simulation.time().now()));
      simulation.onEndAcknowledged(this::acknowledged);
    }

    private void acknowledged(EndedRun end) {
      longest = Math.max(longest, simulation.time().now() - endedAt.remove(end));
    }

    private void submitRepeatedly() {
      if (simulation.time().now() < SETTLE_MILLIS + LOAD_MILLIS) {
        submit(StepSpec.builder().tasks(1).resources(new Resources(1_000, 100, 0)).build());
        simulation.time().after(4 + random.nextInt(8), this::submitRepeatedly);
      }
    }

    void run() {
      simulation.time().run(SETTLE_MILLIS);
      submitRepeatedly();
      simulation.time().run(LOAD_MILLIS);
    }

    /** Returns the longest time from an end to its acknowledgement, or until now if it has none. */
    long longest() {
      long now = simulation.time().now();
      return Math.max(longest, endedAt.values().stream().mapToLong(t -> now - t).max().orElse(0));
    }
  }

  /** Guards against ends that are acknowledged only once no more starts are sent. */
  @ParameterizedTest
  @ValueSource(longs = {0, 20, 50, 150})
  void endsAreAcknowledgedWithinASecondThoughStartsOverlap(long latencyMillis) {
    Play play = new Play(latencyMillis);
    play.run();
    assertThat(play.longest()).isLessThan(1_000);
  }
}
