package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Limits an unexpected error to the job or the executor that it concerns, so that a single record
 * cannot end the term of every owner that reads it.
 *
 * <p>A job or executor that has caused an error is set aside: it gets no more starts in this term.
 * The runs of the job go on and their ends count. The leases of the executor are not renewed, so
 * that its tasks run elsewhere once these have lapsed. An error that concerns neither is not
 * caught.
 */
final class ErrorContainment {
  private final OwnerState state;
  private final RunLifecycle runs;

  ErrorContainment(OwnerState state, RunLifecycle runs) {
    this.state = state;
    this.runs = runs;
  }

  /**
   * Runs a part of the work on a job.
   *
   * @param id id of the job, which need not be known
   */
  void guardJob(String id, long now, Runnable work) {
    computeForJob(
        id,
        now,
        () -> {
          work.run();
          return Optional.empty();
        });
  }

  /**
   * Computes something for a job.
   *
   * @param id id of the job, which need not be known
   * @return what was computed; empty after an error
   */
  <T> Optional<T> computeForJob(String id, long now, Supplier<Optional<T>> work) {
    try {
      return work.get();
    } catch (RuntimeException e) {
      setJobAside(id, e, now);
      return Optional.empty();
    }
  }

  /**
   * Runs a part of the work on an executor.
   *
   * @param id id of the executor, which need not be known
   */
  void guardExecutor(String id, long now, Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      setExecutorAside(id, e, now);
    }
  }

  private void setJobAside(String id, RuntimeException problem, long now) {
    LiveJob job = state.jobs.get(id);
    if (job != null && !job.isSetAside()) {
      job.setAside();
      // Their starts are not sent, and a gang may be incomplete.
      List<LiveTask> undone =
          job.steps().stream()
              .flatMap(s -> s.tasks().stream())
              .filter(t -> t.run() != null && t.run().phase() == Run.Phase.DECIDED)
              .toList();
      undone.forEach(t -> runs.withdraw(t.executor(), t.run(), now));
    }
    state.decisionListener.errorContained(Kind.JOB_SET_ASIDE, id, "", problem);
  }

  private void setExecutorAside(String id, RuntimeException problem, long now) {
    LiveExecutor executor = state.executors.get(id);
    if (executor != null && !executor.isSetAside()) {
      executor.setAside(now);
      state.attention.add(executor);
    }
    state.decisionListener.errorContained(Kind.EXECUTOR_SET_ASIDE, "", id, problem);
  }
}
