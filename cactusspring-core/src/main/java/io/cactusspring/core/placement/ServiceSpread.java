package io.cactusspring.core.placement;

import java.util.HashMap;
import java.util.Map;

/** Number of replicas of each service by rack. */
final class ServiceSpread {
  private final Map<String, Map<String, Integer>> racksByService = new HashMap<>();

  void taskStarted(TaskState task) {
    racksByService
        .computeIfAbsent(service(task), k -> new HashMap<>())
        .merge(task.rack(), 1, Integer::sum);
  }

  void taskEnded(TaskState task) {
    Map<String, Integer> racks = racksByService.get(service(task));
    racks.computeIfPresent(task.rack(), (k, count) -> count == 1 ? null : count - 1);
    if (racks.isEmpty()) {
      racksByService.remove(service(task));
    }
  }

  int replicas(String service, String rack) {
    return racksByService.getOrDefault(service, Map.of()).getOrDefault(rack, 0);
  }

  private static String service(TaskState task) {
    return task.id().run().workload();
  }
}
