package io.cactusspring.jobs.schedule;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The steps that are ready and have tasks without a run, kept up to date by the steps. */
final class WaitingSteps {
  private final Set<LiveStep> steps = new LinkedHashSet<>();

  /** Adds or removes a step after it has changed. */
  void update(LiveStep step) {
    LiveJob job = step.job();
    if (step.isReady() && step.hasWaiting() && !job.isFinal() && !job.isSetAside()) {
      steps.add(step);
    } else {
      steps.remove(step);
    }
  }

  List<LiveStep> all() {
    return List.copyOf(steps);
  }
}
