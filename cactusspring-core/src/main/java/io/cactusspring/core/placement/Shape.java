package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;

/** Equivalence class of waiting runs: runs of one team, urgency and shape fit alike. */
record Shape(Resources resources, int gangSize, boolean service, String workload) {
  /** Replicas of different services differ, since each service is spread separately. */
  static Shape of(PendingRun run) {
    String workload = run.service() ? run.run().workload() : "";
    return new Shape(run.spec().resources(), run.gangSize(), run.service(), workload);
  }
}
