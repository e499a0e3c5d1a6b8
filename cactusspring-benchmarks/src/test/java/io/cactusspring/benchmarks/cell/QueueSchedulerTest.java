package io.cactusspring.benchmarks.cell;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.PlacementPolicy;
import io.cactusspring.core.placement.ReleaseReason;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class QueueSchedulerTest {
  private static final Site SITE =
      new Site(
          "one",
          List.of(Site.worker(0, new Resources(4_000, 4_096, 0))),
          Map.of("t1", 1),
          List.of(),
          Resources.NONE,
          0,
          PlacementPolicy.builder().build());

  private static PendingRun run(String workload, int processors) {
    TaskSpec spec = TaskSpec.builder(Site.size(processors, 1)).build();
    return new PendingRun(new RunId(workload, 0), 1, "t1", spec, false, 1);
  }

  @Test
  void firstComeFirstServedStopsAtTheFirstRunThatDoesNotFit() {
    Scheduler scheduler = QueueScheduler.firstComeFirstServed(SITE);
    scheduler.enqueue(run("a", 3), 0);
    scheduler.enqueue(run("b", 3), 0);
    scheduler.enqueue(run("c", 1), 0);
    assertThat(scheduler.decide(0)).hasSize(1);
    assertThat(scheduler.waiting("t1")).isEqualTo(2);
  }

  @Test
  void firstFitSkipsRunsThatDoNotFit() {
    Scheduler scheduler = QueueScheduler.firstFit(SITE);
    scheduler.enqueue(run("a", 3), 0);
    scheduler.enqueue(run("b", 3), 0);
    scheduler.enqueue(run("c", 1), 0);
    assertThat(scheduler.decide(0)).hasSize(2);
  }

  @Test
  void releasedCapacityIsReused() {
    Scheduler scheduler = QueueScheduler.firstFit(SITE);
    scheduler.enqueue(run("a", 4), 0);
    scheduler.enqueue(run("b", 4), 0);
    scheduler.decide(0);
    scheduler.release(run("a", 4).task(), ReleaseReason.SUCCEEDED, 1);
    assertThat(scheduler.decide(1)).hasSize(1);
  }
}
