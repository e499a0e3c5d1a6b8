package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.placement.PendingRun;
import java.util.List;

/**
 * Work that arrives at one time: a single run or all members of a gang.
 *
 * @param runMillis actual run time of each task, which may differ from the declared one
 */
record Arrival(long atMillis, WorkClass workClass, List<PendingRun> runs, long runMillis) {
  Arrival {
    runs = List.copyOf(runs);
  }
}
