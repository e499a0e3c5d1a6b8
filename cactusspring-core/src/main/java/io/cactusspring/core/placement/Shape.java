package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;

/** What makes waiting runs of a team and urgency alike for placement. */
record Shape(Resources resources, int gangSize, boolean service, String workload) {
  /** Replicas of unlike services differ, since each service is spread on its own. */
  static Shape of(PendingRun run) {
    String workload = run.service() ? run.run().workload() : "";
    return new Shape(run.spec().resources(), run.gangSize(), run.service(), workload);
  }
}
