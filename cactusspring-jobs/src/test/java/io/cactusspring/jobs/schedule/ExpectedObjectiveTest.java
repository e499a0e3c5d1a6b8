package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests which jobs are expected in time, under the load of customer C: estimates are off by a
 * log-normal factor of sigma 0.9, so that one in ten is three times too large or too small.
 */
final class ExpectedObjectiveTest {
  private static final Queue QUEUE =
      new Queue("quick", "host", "/q/", "svc", 0, 2, 1.5, 250, null, false);
  private static final double EXPECTED_MILLIS = 1_000;

  private final OwnerState state =
      new OwnerState(
          SchedulerSettings.builder().build(),
          1,
          id -> Optional.empty(),
          (kind, job, subject, reason) -> {});

  /** Every task is expected to take as long, whatever its estimate. */
  private static final class KnownDurations implements Durations {
    @Override
    public double expectedMillis(String queue, StepSpec step) {
      return EXPECTED_MILLIS;
    }

    @Override
    public double factor(LiveExecutor executor) {
      return 1;
    }

    @Override
    public boolean hasObservations(String queue) {
      return true;
    }

    @Override
    public boolean unequal() {
      return true;
    }
  }

  private LiveStep step(StepSpec... steps) {
    JobSpec spec = new JobSpec("j1", QUEUE, "team", "p", List.of(steps), 0, 0, 0, 0);
    return new LiveJob(JobEntry.submitted(spec), state.waitingSteps, 0, 0).steps().getFirst();
  }

  private static StepSpec estimated(long millis, Integer... after) {
    return StepSpec.builder().estimateMillis(millis).after(List.of(after)).build();
  }

  private boolean isInTime(LiveStep step, long now) {
    return new StepOrder(state, new ShortageMonitor(state)).isInTime(step, QUEUE, now);
  }

  @Test
  void estimatesDecideWhileNothingIsObserved() {
    assertThat(isInTime(step(estimated(100)), 500)).isFalse();
    assertThat(isInTime(step(estimated(5_000)), 900)).isTrue();
  }

  @Test
  void expectedDurationsDecideOnceAQueueIsObserved() {
    state.durations = new KnownDurations();
    assertThat(isInTime(step(estimated(100)), 500)).isTrue();
    assertThat(isInTime(step(estimated(5_000)), 900)).isFalse();
  }

  /** Steps that run side by side do not add up. */
  @Test
  void objectiveFollowsTheCriticalPath() {
    state.durations = new KnownDurations();
    LiveStep parallel = step(estimated(100), estimated(100), estimated(100));
    assertThat(isInTime(parallel, 700)).isTrue();
    assertThat(isInTime(parallel, 800)).isFalse();
    LiveStep chain = step(estimated(100), estimated(100, 0), estimated(100, 1));
    assertThat(isInTime(chain, 1_700)).isTrue();
    assertThat(isInTime(chain, 1_800)).isFalse();
  }

  @Test
  void highestFactorLeavesTimeForTheChainAfterTheStep() {
    Durations durations = new KnownDurations();
    // 1.5 * 1,000 + 250 = 1,750 for one step; 3,250 for a chain of two, less 1,000 for the second.
    assertThat(ExpectedCompletion.maxFactor(step(estimated(100)), QUEUE, durations, 0))
        .isWithin(1e-9)
        .of(1.75);
    LiveStep first = step(estimated(100), estimated(100, 0));
    assertThat(ExpectedCompletion.maxFactor(first, QUEUE, durations, 0)).isWithin(1e-9).of(2.25);
    assertThat(ExpectedCompletion.maxFactor(first, QUEUE, durations, 1_250)).isWithin(1e-9).of(1);
  }

  /** A repetition that is due an hour after the submission is not late when it starts. */
  @Test
  void repetitionCountsFromTheTimeAtWhichItIsDue() {
    JobSpec spec = new JobSpec("j1", QUEUE, "", "p", List.of(estimated(100)), 500, 1_000, 3, 0);
    LiveJob job = new LiveJob(JobEntry.submitted(spec), state.waitingSteps, 0, 0);
    LiveStep second = job.occurrence(1, 1_500).getFirst();
    assertThat(ExpectedCompletion.maxFactor(second, QUEUE, new KnownDurations(), 1_500))
        .isWithin(1e-9)
        .of(1.75);
  }
}
