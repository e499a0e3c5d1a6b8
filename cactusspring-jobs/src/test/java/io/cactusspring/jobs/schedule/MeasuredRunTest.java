package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests which runs count as observations. A run that did not do the whole work of its task at full
 * speed, or of which the start or the end is not known, would make its executor appear faster or
 * slower than it is.
 */
final class MeasuredRunTest {
  private static final Queue QUEUE =
      new Queue("quick", "host", "/q/", "svc", 0, 2, 1.5, 250, null, false);
  private static final Resources TASK = new Resources(1_000, 1_000, 0);

  private final OwnerState state =
      new OwnerState(
          SchedulerSettings.builder().build(),
          1,
          id -> Optional.empty(),
          (kind, job, subject, reason) -> {});
  private final RunLifecycle runs = new RunLifecycle(state);
  private final LiveExecutor executor = newExecutor();

  private LiveExecutor newExecutor() {
    LiveExecutor created = state.executor("x1");
    Resources capacity = new Resources(8_000, 8_000, 0);
    Set<String> labels = Set.of("kind", "rack-a");
    created.announced(
        new ExecutorInfo("x1", "x1:80", "svc", "z", false, -1, capacity, labels, 7), 0, 0);
    created.rebooted(7, 0);
    return created;
  }

  private static StepSpec.Builder step() {
    return StepSpec.builder().resources(TASK).estimateMillis(500);
  }

  private LiveTask task(StepSpec.Builder step) {
    JobSpec spec = new JobSpec("j1", QUEUE, "team", "p", List.of(step.build()), 0, 0, 0, 0);
    LiveJob job = new LiveJob(JobEntry.submitted(spec), state.waitingSteps, 0, 0);
    state.jobs.put(job.id(), job);
    return job.steps().getFirst().tasks().getFirst();
  }

  private Run confirmed(LiveTask task) {
    Run run = runs.decide(task, 1, executor, 0);
    run.startSent(0, 1, 10);
    run.enter(Run.Phase.RUNNING, 20);
    return run;
  }

  private boolean isMeasured(StepSpec.Builder step) {
    return confirmed(task(step)).isMeasured();
  }

  @Test
  void confirmedRunOfAnOrdinaryTaskIsMeasured() {
    assertThat(isMeasured(step())).isTrue();
    assertThat(isMeasured(step().dataRack("rack-a"))).isTrue();
    assertThat(isMeasured(step().checkpoints(true))).isTrue();
  }

  @Test
  void runsWithOtherWorkOrSpeedAreNotMeasured() {
    assertThat(isMeasured(step().gang(true))).isFalse();
    assertThat(isMeasured(step().fills(true))).isFalse();
    assertThat(isMeasured(step().longRunning(true))).isFalse();
    assertThat(isMeasured(step().dataRack("rack-b"))).isFalse();
  }

  @Test
  void runThatResumesFromACheckpointIsNotMeasured() {
    LiveTask task = task(step().checkpoints(true));
    task.checkpoint("50");
    assertThat(confirmed(task).isMeasured()).isFalse();
  }

  @Test
  void pacedRunIsNotMeasured() {
    Run run = confirmed(task(step()));
    run.paced(50, 30);
    run.paced(100, 40);
    assertThat(run.isMeasured()).isFalse();
  }

  /** The executor may have carried out the start long before it was confirmed. */
  @Test
  void runWhoseStartWasInDoubtIsNotMeasured() {
    Run run = runs.decide(task(step()), 1, executor, 0);
    run.startSent(0, 1, 10);
    run.startUnanswered(500);
    run.enter(Run.Phase.IN_DOUBT, 500);
    run.enter(Run.Phase.RUNNING, 700);
    assertThat(run.isMeasured()).isFalse();
  }

  @Test
  void runOfAPreviousOwnerIsNotMeasured() {
    LiveTask task = task(step());
    Run run =
        new Run(
            new RunKey(task.id(), 1),
            step().build(),
            task.step().job().spec(),
            Run.Phase.RUNNING,
            0);
    assertThat(run.isMeasured()).isFalse();
  }

  /** Its ends may be seconds old when it answers again. */
  @Test
  void runOnAnExecutorThatWasSilentIsNotMeasured() {
    Run run = confirmed(task(step()));
    executor.markSilent(100);
    new ReportReconciler(state, runs)
        .reconcile(
            executor, 3_000, new LeaseRenewalResult.Report(3_000, 7, List.of(), List.of()), 3_000);
    assertThat(run.isMeasured()).isFalse();
  }

  @Test
  void runThatEndsAsDoneIsObserved() {
    LiveTask task = task(step());
    runs.ended(executor, confirmed(task), EndReason.DONE, "", 520);
    StepSpec withoutEstimate = step().estimateMillis(0).build();
    assertThat(state.durations.expectedMillis("quick", withoutEstimate)).isWithin(1e-6).of(500);
  }

  @Test
  void runsThatEndOtherwiseAreNotObserved() {
    for (EndReason reason : EndReason.values()) {
      if (reason != EndReason.DONE) {
        LiveTask task = task(step());
        runs.ended(executor, confirmed(task), reason, "", 520);
        runs.finish(task.step().job(), JobState.FAILED, 520);
      }
    }
    assertThat(state.durations.hasObservations("quick")).isFalse();
  }
}
