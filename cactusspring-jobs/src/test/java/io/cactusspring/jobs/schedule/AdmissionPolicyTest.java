package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which jobs are rejected, and that bad input alone does not lead to a rejection. */
final class AdmissionPolicyTest {
  private static final int EXECUTORS = 10;
  private static final int PROCESSORS = 160;
  private static final Queue QUICK = AdmissionCluster.queue("quick", 0, 1.5, 250);
  private static final Queue BATCH = AdmissionCluster.queue("batch", 2, 2.2, 1_200);
  private static final StepSpec QUICK_STEP = step(10, 2_000, 800).build();

  private final AdmissionCluster cluster = new AdmissionCluster();

  @BeforeEach
  void addExecutors() {
    for (int i = 0; i < EXECUTORS; i++) {
      cluster.addExecutor("x" + i, new Resources(16_000, 32_000, 0));
    }
    cluster.run(AdmissionPolicy.MIN_LISTED_MILLIS);
  }

  private static StepSpec.Builder step(int tasks, long milliProcessors, long estimateMillis) {
    return StepSpec.builder()
        .tasks(tasks)
        .resources(new Resources(milliProcessors, 100, 0))
        .estimateMillis(estimateMillis);
  }

  private Admission submit(String id, Queue queue, StepSpec... steps) {
    return cluster.submit(AdmissionCluster.job(id, queue, steps));
  }

  /** Accepts ten seconds of work of a priority, so that every executor is busy. */
  private void fill(Queue queue) {
    for (int i = 0; i < 10; i++) {
      cluster.accept(AdmissionCluster.job("filler" + i, queue, step(40, 4_000, 1_000).build()));
    }
    cluster.run(Backlog.REFRESH_MILLIS);
  }

  private static void assertAdmitted(Admission admission) {
    assertThat(admission).isInstanceOf(Admission.Admitted.class);
  }

  private static void assertRejected(Admission admission) {
    assertThat(admission).isInstanceOf(Admission.Rejected.class);
  }

  private static void assertNeverFits(Admission admission) {
    assertRejected(admission);
    assertThat(((Admission.Rejected) admission).retryAfterMillis())
        .isEqualTo(AdmissionPolicy.NEVER_FITS_RETRY_MILLIS);
  }

  /** Bad input: 1,000 tasks of 4 cores on 160 cores; they run one after the other. */
  @Test
  void stepWiderThanAllExecutorsIsAdmitted() {
    assertAdmitted(submit("wide", BATCH, step(1_000, 4_000, 4_000).build()));
  }

  @Test
  void taskLargerThanAnyExecutorIsRejected() {
    assertNeverFits(submit("large", BATCH, step(1, 16_001, 4_000).build()));
  }

  @Test
  void laterStepThatFitsNowhereIsRejectedAtOnce() {
    assertNeverFits(
        submit("large", BATCH, step(1, 1_000, 500).build(), step(1, 20_000, 500).build()));
  }

  @Test
  void unknownRequiredLabelIsRejected() {
    assertNeverFits(submit("label", BATCH, step(1, 1_000, 500).requiredLabel("gpu").build()));
    assertAdmitted(submit("known", BATCH, step(1, 1_000, 500).requiredLabel("rack1").build()));
  }

  /** Bad input: 21 members of 8 cores, of which 20 fit on 10 executors of 16 cores. */
  @Test
  void gangLargerThanAllCapacityIsRejected() {
    assertNeverFits(submit("gang", BATCH, step(21, 8_000, 500).gang(true).build()));
    assertAdmitted(submit("fits", BATCH, step(20, 8_000, 500).gang(true).build()));
  }

  /** The sum of the free processors would suffice, but no executor has room for two members. */
  @Test
  void gangWhoseMembersDoNotFitSideBySideIsRejected() {
    assertNeverFits(submit("gang", BATCH, step(11, 9_000, 500).gang(true).build()));
  }

  @Test
  void longRunningJobIsRejectedOnlyIfItCanNeverFit() {
    fill(QUICK);
    assertAdmitted(submit("serving", BATCH, step(20, 4_500, 0).longRunning(true).build()));
    assertNeverFits(submit("large", BATCH, step(1, 17_000, 0).longRunning(true).build()));
  }

  /** Executors announce themselves one after the other when a term begins. */
  @Test
  void nothingIsRejectedAsUnfitBeforeExecutorsHaveBeenListedLongEnough() {
    AdmissionCluster young = new AdmissionCluster();
    JobSpec large = AdmissionCluster.job("large", BATCH, step(1, 20_000, 500).build());
    assertAdmitted(young.submit(large));
    young.addExecutor("x", new Resources(16_000, 32_000, 0));
    young.run(AdmissionPolicy.MIN_LISTED_MILLIS - 100);
    assertAdmitted(young.submit(large));
    young.run(100);
    assertNeverFits(young.submit(large));
    young.addExecutor("y", new Resources(32_000, 32_000, 0));
    assertAdmitted(young.submit(large));
  }

  /** Bad input: estimates of 0 and of 1,000 times the duration, with little other work. */
  @Test
  void wrongEstimateAloneIsNotRejected() {
    assertAdmitted(submit("zero", QUICK, step(10, 2_000, 0).build()));
    for (int i = 0; i < 5; i++) {
      assertAdmitted(submit("thousandfold" + i, QUICK, step(10, 2_000, 800_000).build()));
      cluster.run(Backlog.REFRESH_MILLIS);
      assertAdmitted(submit("zero" + i, QUICK, step(10, 2_000, 0).build()));
      assertAdmitted(submit("right" + i, QUICK, QUICK_STEP));
    }
  }

  /**
   * Bad input: a job of 20 cores that declares 1,000 times its duration. It must not count as a
   * backlog of 100 s while 1.2 times the capacity is in demand for a moment.
   */
  @Test
  void thousandfoldEstimateOfOneJobDoesNotRejectOthersUnderAShortBurst() {
    assertAdmitted(submit("thousandfold", QUICK, step(10, 2_000, 800_000).build()));
    for (int i = 0; i < 20; i++) {
      assertAdmitted(submit("burst" + i, QUICK, QUICK_STEP));
    }
    cluster.run(Backlog.REFRESH_MILLIS);
    assertAdmitted(submit("late", QUICK, QUICK_STEP));
  }

  /** A backlog of ten seconds of batch work in front of quick jobs, which are placed first. */
  @Test
  void workOfALowerPriorityDoesNotCount() {
    fill(BATCH);
    assertAdmitted(submit("quick", QUICK, QUICK_STEP));
  }

  /** A backlog of ten seconds of quick work; batch jobs can wait that long, quick jobs cannot. */
  @Test
  void jobIsRejectedOnlyIfItCouldNotCompleteWithinThreeObjectives() {
    fill(QUICK);
    assertAdmitted(submit("batch", BATCH, step(10, 4_000, 4_000).build()));
    Admission quick = submit("quick", QUICK, QUICK_STEP);
    assertRejected(quick);
    assertThat(((Admission.Rejected) quick).reason()).contains("expected start in");
  }

  /** Long-running tasks hold half of the capacity; the other half drains the backlog. */
  @Test
  void longRunningTasksReduceTheCapacityForOtherJobs() {
    cluster.accept(
        AdmissionCluster.job("serving", BATCH, step(10, 8_000, 0).longRunning(true).build()));
    cluster.run(Backlog.REFRESH_MILLIS);
    // 3 s of the whole capacity, thus 6 s of what is left; a quick job can wait 3.55 s.
    cluster.accept(AdmissionCluster.job("work", QUICK, step(120, 4_000, 1_000).build()));
    cluster.run(Backlog.REFRESH_MILLIS);
    assertRejected(submit("quick", QUICK, QUICK_STEP));
  }

  /** Jobs that are of no use to their callers any more are placed last and delay nobody. */
  @Test
  void overdueJobsDoNotCountAsBacklog() {
    for (int i = 0; i < 40; i++) {
      cluster.accept(AdmissionCluster.job("filler" + i, QUICK, step(40, 4_000, 1_000).build()));
    }
    cluster.run(6_000);
    assertThat(cluster.waitingTasks()).isGreaterThan(100);
    assertAdmitted(submit("fresh", QUICK, QUICK_STEP));
  }

  @Test
  void jobThatWasRejectedBeforeIsAdmittedAheadOfNewOnes() {
    fill(QUICK);
    assertRejected(submit("early", QUICK, QUICK_STEP));
    cluster.run(4_000);
    // 5.9 s of work are left: more than the 3.55 s for new jobs, less than 4 s on top of them.
    assertRejected(submit("new", QUICK, QUICK_STEP));
    assertAdmitted(submit("early", QUICK, QUICK_STEP));
  }

  /** A burst of 200 submissions in one instant, on top of a backlog of ten seconds. */
  @Test
  void callersRejectedInOneInstantReturnOneAfterTheOther() {
    fill(QUICK);
    long before = 0;
    long first = 0;
    for (int i = 0; i < 200; i++) {
      Admission admission = submit("j" + i, QUICK, QUICK_STEP);
      assertRejected(admission);
      long retry = ((Admission.Rejected) admission).retryAfterMillis();
      assertThat(retry).isAtLeast(before);
      assertThat(retry % 1_000).isEqualTo(0);
      assertThat(retry).isAtMost(RejectedJobs.MAX_RETRY_MILLIS);
      first = i == 0 ? retry : first;
      before = retry;
    }
    // 200 jobs occupy the whole capacity for 20 s.
    assertThat(before).isAtLeast(first + 18_000);
  }

  /** Demand of 0.95 times the capacity for 20 s. */
  @Test
  void nothingIsRejectedWithoutAShortage() {
    SurgeOfCallers callers = new SurgeOfCallers(cluster, QUICK, QUICK_STEP);
    callers.run(0.95, 20_000);
    assertThat(callers.rejections()).isEmpty();
    assertThat(callers.admitted().size()).isAtLeast(180);
  }

  /** Demand of 1.5 times the capacity for 10 s, then of half the capacity. */
  @Test
  void surgeRejectsOnlyWhatCouldNotCompleteAndAdmitsItInItsOrder() {
    SurgeOfCallers callers = new SurgeOfCallers(cluster, QUICK, QUICK_STEP);
    callers.run(1.5, 10_000);
    callers.run(0.5, 30_000);
    assertThat(callers.rejections()).isNotEmpty();
    double useful = AdmissionPolicy.usefulMillis(QUICK, 800);
    for (SurgeOfCallers.Rejection rejection : callers.rejections()) {
      double completion = rejection.remainingWorkMillis() / PROCESSORS + 800;
      // The backlog is up to 100 ms old, and a returning caller's time extends the limit.
      assertThat(completion).isAtLeast(useful - Backlog.REFRESH_MILLIS);
    }
    List<String> rejected = callers.firstRejections();
    List<String> admitted = callers.admitted().stream().filter(rejected::contains).toList();
    assertThat(admitted).containsExactlyElementsIn(rejected).inOrder();
    // The capacity serves ten of these jobs a second.
    assertThat(callers.mostReturnsInOneSecond()).isAtMost(15);
  }
}
