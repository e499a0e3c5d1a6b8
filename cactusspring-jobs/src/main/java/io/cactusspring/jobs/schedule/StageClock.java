package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.schedule.StageTimes.Stage;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Works out where the time of a job went.
 *
 * <p>The time of a step is that of the task that ended last, and the time of a job is that of the
 * chain of steps that ended last.
 */
final class StageClock {
  private StageClock() {}

  /** Returns the stages of a step whose last task has just ended with a run. */
  static StageTimes ofStep(LiveTask last, Run run, long now) {
    LiveStep step = last.step();
    long waitingFrom = Math.max(step.readySince(), last.waitingSince());
    long waited = Math.max(0, run.decidedAt() - waitingFrom);
    long advice = Math.min(waited, last.adviceMillis());
    long sentAt = run.firstStartSentAt();
    long confirmedAt = run.phase() == Run.Phase.RUNNING ? run.phaseAt() : now;
    return StageTimes.NONE
        .with(Stage.RETRY, waitingFrom - step.readySince())
        .with(Stage.ADVICE, advice)
        .with(Stage.ROOM, waited - advice)
        .with(Stage.STORE, sentAt - run.decidedAt())
        .with(Stage.START, confirmedAt - sentAt)
        .with(Stage.RUN, now - confirmedAt);
  }

  /** Returns the stages of a step whose last task has ended with a run that was taken for lost. */
  static StageTimes ofStepWithLostRun(LiveStep step, long now) {
    return StageTimes.NONE.with(Stage.RETRY, now - step.readySince());
  }

  /**
   * Returns the stages of a job that runs once and has ended.
   *
   * @param steps its steps
   */
  static StageTimes ofJob(LiveJob job, List<LiveStep> steps) {
    Stage before = job.adopted() ? Stage.EARLIER_OWNERS : Stage.TRANSFER;
    StageTimes chain = StageTimes.NONE.with(before, job.knownSince() - job.submittedAt());
    Optional<LiveStep> step = steps.stream().max(Comparator.comparingLong(LiveStep::doneAt));
    while (step.isPresent()) {
      chain = chain.plus(step.get().stages());
      step =
          step.get().spec().after().stream()
              .map(steps::get)
              .max(Comparator.comparingLong(LiveStep::doneAt));
    }
    return chain;
  }
}
