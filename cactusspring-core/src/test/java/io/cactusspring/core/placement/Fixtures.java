package io.cactusspring.core.placement;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.Urgency;
import io.cactusspring.core.model.WorkerInfo;
import java.util.List;
import java.util.stream.IntStream;

/** Factory methods for workers and runs in tests. */
final class Fixtures {
  static final AvailabilityZone ZONE = new AvailabilityZone("riga-a");

  private Fixtures() {}

  static WorkerInfo worker(String name, String rack, Resources total) {
    return new WorkerInfo(name, ZONE, rack, "127.0.0.1:1", total, false);
  }

  static WorkerInfo worker(String name, int processors) {
    return worker(name, "r1", size(processors));
  }

  static Resources size(int processors) {
    return new Resources(processors * 1_000L, processors * 1_024L, 0);
  }

  static TaskSpec.Builder spec(int processors) {
    return TaskSpec.builder(size(processors)).expectedMillis(1_000);
  }

  static PendingRun run(String workload, String team, TaskSpec spec) {
    return new PendingRun(new RunId(workload, 0), 1, team, spec, false, 1);
  }

  static PendingRun run(String workload, String team, int processors) {
    return run(workload, team, spec(processors).build());
  }

  static PendingRun urgent(String workload, String team, int processors) {
    return run(workload, team, spec(processors).urgency(Urgency.URGENT).build());
  }

  static List<PendingRun> gang(String workload, String team, int processors, int size) {
    return IntStream.range(0, size)
        .mapToObj(
            i ->
                new PendingRun(
                    new RunId(workload, i), 1, team, spec(processors).build(), false, size))
        .toList();
  }

  static List<PendingRun> replicas(String service, String team, int processors, int count) {
    TaskSpec spec = TaskSpec.builder(size(processors)).build();
    return IntStream.range(0, count)
        .mapToObj(i -> new PendingRun(new RunId("service:" + service, i), 1, team, spec, true, 1))
        .toList();
  }
}
