package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.placement.PendingRun;
import java.util.List;

/**
 * Work that arrives at one instant: a run, or all members of a gang.
 *
 * @param runMillis how long each task really runs
 */
record Arrival(long atMillis, WorkClass workClass, List<PendingRun> runs, long runMillis) {
  Arrival {
    runs = List.copyOf(runs);
  }
}
