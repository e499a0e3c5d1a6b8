package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.port.Executors.Target;
import java.util.List;

/**
 * Something that the owner has decided to do.
 *
 * @since 0.2
 */
public sealed interface Action {
  /** Start a run; only once the decision is stored. */
  record Start(String executor, RunKey run) implements Action {}

  /** Stop a run. */
  record Stop(String executor, Target target, RunKey run) implements Action {}

  /** Throttle a run to a share of its work. */
  record Pace(String executor, Target target, RunKey run, int percent) implements Action {}

  /** Ask which of some executors may run a step. */
  record AskAdvice(StepId step, List<String> executors, AdviceSettings terms) implements Action {}
}
