package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.schedule.ShortagePlan.Candidate;
import io.cactusspring.jobs.schedule.ShortagePlan.Capacity;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which jobs are deferred. One processor completes 1,000 processor-milliseconds a second. */
final class ShortagePlanTest {
  private static final Capacity ONE_PROCESSOR = new Capacity(1, Map.of());

  /** Builds a batch job of an organisation within its entitlement. */
  private static final class Job {
    private final String id;
    private final double work;
    private final double objectiveIn;
    private int priority = 2;
    private boolean surplus;
    private boolean deferrable = true;
    private int overuse;
    private double criticalPath;

    Job(String id, double work, double objectiveIn) {
      this.id = id;
      this.work = work;
      this.objectiveIn = objectiveIn;
    }

    Job priority(int value) {
      priority = value;
      return this;
    }

    Job surplus() {
      surplus = true;
      return this;
    }

    Job begun() {
      deferrable = false;
      return this;
    }

    Job overuse(int doublings) {
      overuse = doublings;
      return this;
    }

    Job criticalPath(double millis) {
      criticalPath = millis;
      return this;
    }

    Candidate build() {
      return new Candidate(
          id,
          surplus,
          priority,
          new RemainingWork(criticalPath, work),
          objectiveIn,
          deferrable,
          overuse);
    }
  }

  private static Job job(String id, double work, double objectiveIn) {
    return new Job(id, work, objectiveIn);
  }

  private static ShortagePlan plan(Capacity capacity, Job... jobs) {
    return ShortagePlan.of(Arrays.stream(jobs).map(Job::build).toList(), capacity);
  }

  private static Set<String> deferred(Job... jobs) {
    return plan(ONE_PROCESSOR, jobs).expectedWaitMillis().keySet();
  }

  @Test
  void nothingIsDeferredIfAllJobsCompleteInTime() {
    assertThat(deferred(job("a", 1_000, 1_000), job("b", 1_000, 2_000), job("c", 1_000, 3_000)))
        .isEmpty();
  }

  /** Demand of 1.5 times the capacity until the last objective. */
  @Test
  void jobWithTheMostWorkIsDeferredSoThatTheOthersAreInTime() {
    assertThat(deferred(job("a", 2_000, 2_500), job("b", 1_000, 2_900), job("c", 1_000, 3_000)))
        .containsExactly("a");
  }

  @Test
  void expectedWaitIsTheWorkThatPrecedesOverTheCapacity() {
    ShortagePlan plan = plan(ONE_PROCESSOR, job("a", 2_000, 2_500), job("b", 3_000, 4_000));
    assertThat(plan.expectedWaitMillis()).containsExactly("b", 2_000.0);
  }

  /** One organisation uses four times its entitlement. */
  @Test
  void jobOfTheOrganisationFurthestAboveItsEntitlementIsDeferredFirst() {
    assertThat(
            deferred(
                job("large", 2_000, 2_500),
                job("surging", 1_000, 2_900).overuse(2),
                job("other", 1_000, 3_000)))
        .containsExactly("surging");
  }

  @Test
  void jobThatIsMostlyDoneIsNeverDeferred() {
    assertThat(deferred(job("a", 2_000, 2_500).begun(), job("b", 1_000, 2_900)))
        .containsExactly("b");
  }

  /** A job arrives whose critical path is longer than the time to its objective. */
  @Test
  void jobThatCannotBeInTimeIsDeferredAlone() {
    assertThat(deferred(job("a", 1_000, 2_000), job("hopeless", 100, 2_500).criticalPath(9_000)))
        .containsExactly("hopeless");
  }

  /** A mostly done job is late already; deferring others would not help it. */
  @Test
  void nothingIsDeferredForAJobThatIsLateInAnyCase() {
    assertThat(
            deferred(job("a", 1_000, 1_000), job("late", 100, 1_050).begun().criticalPath(5_000)))
        .isEmpty();
  }

  /** Quick jobs wait or keep arriving while batch jobs are planned. */
  @Test
  void workOfHigherPriorityPrecedes() {
    Job batch = job("batch", 1_000, 1_500);
    assertThat(deferred(batch, job("quick", 1_000, 9_000).priority(0))).containsExactly("batch");
    Capacity arriving = new Capacity(1, Map.of(0, 0.5));
    assertThat(plan(arriving, batch).defers("batch")).isTrue();
    assertThat(plan(new Capacity(1, Map.of(3, 0.5)), batch).defers("batch")).isFalse();
  }

  @Test
  void surplusJobsTakeNoCapacityFromOthers() {
    assertThat(deferred(job("batch", 1_000, 1_500), job("s", 1_000, 1_500).priority(0).surplus()))
        .containsExactly("s");
  }

  /** Ninety small jobs and ten large ones with twice the work that completes in time. */
  @Test
  void atLeastHalfOfTheLargestTenthIsKept() {
    List<Job> jobs = new ArrayList<>();
    IntStream.range(0, 90).forEach(i -> jobs.add(job("small" + i, 100, 9_500)));
    IntStream.range(0, 10).forEach(i -> jobs.add(job("large" + i, 1_000, 9_000)));
    Set<String> deferred = deferred(jobs.toArray(Job[]::new));
    assertThat(deferred.stream().filter(id -> id.startsWith("large")).count()).isEqualTo(5);
  }

  /** Failures: no capacity, no jobs, and durations of 0 or far beyond any objective. */
  @Test
  void planIsEmptyWithoutCapacityOrJobs() {
    assertThat(plan(new Capacity(0, Map.of()), job("a", 1, 1))).isEqualTo(ShortagePlan.NONE);
    assertThat(plan(new Capacity(-3, Map.of()), job("a", 1, 1))).isEqualTo(ShortagePlan.NONE);
    assertThat(plan(ONE_PROCESSOR)).isEqualTo(ShortagePlan.NONE);
    assertThat(deferred(job("none", 0, 100), job("huge", 1e15, 100), job("usual", 50, 100)))
        .containsExactly("huge");
  }

  /** Arrivals of higher priority exceed the capacity in a burst. */
  @Test
  void someCapacityIsExpectedToBeLeftInABurstOfHigherPriority() {
    Capacity burst = new Capacity(10, Map.of(0, 25.0));
    assertThat(plan(burst, job("a", 900, 1_000)).defers("a")).isFalse();
    assertThat(plan(burst, job("a", 1_100, 1_000)).defers("a")).isTrue();
  }
}
