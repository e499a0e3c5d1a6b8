package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.port.ExecutorClient.Target;
import java.util.List;

/**
 * An action that the owner has decided on.
 *
 * @since 0.2
 */
public sealed interface Action {
  /** Start a run. The decision has to be stored first. */
  record Start(String executor, RunKey run) implements Action {}

  /** Stop a run. */
  record Stop(String executor, Target target, RunKey run) implements Action {}

  /**
   * Throttle a run.
   *
   * @param percent the allowed share of its full pace
   */
  record Pace(String executor, Target target, RunKey run, int percent) implements Action {}

  /** Ask the advice service which of the executors may run a step. */
  record RequestAdvice(StepId step, List<String> executors, AdviceSettings settings)
      implements Action {}
}
