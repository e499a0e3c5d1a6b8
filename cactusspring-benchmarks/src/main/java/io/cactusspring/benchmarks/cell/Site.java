package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Urgency;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.placement.PlacementPolicy;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Workers, teams and workload mix of a deployment.
 *
 * @param shares share of each team, by name
 * @param serviceSize size of one replica of the long-running services
 * @param serviceReplicas number of service replicas, which run for the whole simulation
 */
public record Site(
    String name,
    List<WorkerInfo> workers,
    Map<String, Integer> shares,
    List<WorkClass> classes,
    Resources serviceSize,
    int serviceReplicas,
    PlacementPolicy policy) {
  private static final int WORKERS_PER_RACK = 8;
  private static final long GIB = 1_024;
  private static final Map<String, Integer> TEAM_SHARES =
      Map.of("t1", 8, "t2", 6, "t3", 4, "t4", 2, "t5", 1, "t6", 1);

  public Site {
    workers = List.copyOf(workers);
    shares = Map.copyOf(shares);
    classes = List.copyOf(classes);
  }

  /** Many short counter checks, together with restock plans and price feeds. */
  public static Site riga() {
    List<WorkClass> classes =
        List.of(
            new WorkClass(
                "counter", 0.6, List.of(size(1, 2), size(2, 4)), 2_000, Urgency.URGENT, false, 1),
            new WorkClass(
                "restock",
                0.25,
                List.of(size(4, 8), size(8, 48), size(16, 32)),
                60_000,
                Urgency.NORMAL,
                false,
                1),
            new WorkClass(
                "feed",
                0.1,
                List.of(size(2, 16), size(8, 16)),
                120_000,
                Urgency.BACKGROUND,
                true,
                1),
            new WorkClass(
                "plan-gang", 0.02, List.of(size(8, 24)), 60_000, Urgency.NORMAL, false, 6),
            new WorkClass("large", 0.03, List.of(size(40, 96)), 90_000, Urgency.NORMAL, true, 1));
    return new Site(
        "riga",
        workers(30, new Resources(64_000, 256 * GIB, 0)),
        TEAM_SHARES,
        classes,
        size(4, 16),
        66,
        PlacementPolicy.builder()
            .fullThreshold(0.95)
            .maxReservedWorkerFraction(0.07)
            .reservationDelayMillis(120_000)
            .build());
  }

  /**
   * Long shrinkage runs of differing resource shapes on smaller workers, together with short draft
   * checks.
   */
  public static Site tema() {
    List<WorkClass> classes =
        List.of(
            new WorkClass(
                "draft", 0.5, List.of(size(1, 1), size(2, 4)), 3_000, Urgency.URGENT, false, 1),
            new WorkClass(
                "shrinkage",
                0.35,
                List.of(size(4, 16), size(8, 8), size(12, 12), size(2, 24)),
                180_000,
                Urgency.NORMAL,
                true,
                1),
            new WorkClass(
                "report",
                0.1,
                List.of(size(1, 8), size(4, 4)),
                60_000,
                Urgency.BACKGROUND,
                true,
                1),
            new WorkClass(
                "mould-gang", 0.05, List.of(size(8, 12)), 120_000, Urgency.NORMAL, false, 4));
    return new Site(
        "tema",
        workers(30, new Resources(32_000, 64 * GIB, 0)),
        TEAM_SHARES,
        classes,
        size(2, 4),
        66,
        PlacementPolicy.builder().fullThreshold(0.9).build());
  }

  static Resources size(int processors, int gib) {
    return new Resources(processors * 1_000L, gib * GIB, 0);
  }

  private static List<WorkerInfo> workers(int count, Resources total) {
    return IntStream.range(0, count).mapToObj(i -> worker(i, total)).toList();
  }

  /** Returns a worker by its number; eight consecutive numbers share a rack. */
  public static WorkerInfo worker(int number, Resources total) {
    String rack = "r" + number / WORKERS_PER_RACK;
    return new WorkerInfo(
        "w" + number, new AvailabilityZone("zone-a"), rack, "127.0.0.1:1", total, false);
  }

  /** Returns a list in which each team occurs as many times as its share. */
  List<String> teamsByShare() {
    return shares.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .flatMap(e -> Collections.nCopies(e.getValue(), e.getKey()).stream())
        .toList();
  }

  /** Returns the total resources of all workers. */
  public Resources total() {
    return workers.stream().map(WorkerInfo::total).reduce(Resources.NONE, Resources::plus);
  }

  /** Returns the total resources less those of the long-running services. */
  Resources totalWithoutServices() {
    return total().minus(serviceSize.times(serviceReplicas));
  }
}
