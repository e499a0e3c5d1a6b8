package io.cactusspring.benchmarks.slopes;

import io.cactusspring.benchmarks.cell.Site;
import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.codec.SnapshotCodec;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.PlacementPolicy;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.state.ClusterState;
import java.util.List;

/** Memory of the replayed state and of placement, and size and time of snapshots. */
final class StateSlopes {
  private static final double[] RUNS = {2_000, 8_000, 16_000, 32_000};
  private static final double[] TASKS = {1_000, 4_000, 8_000, 12_000};
  private static final int TASKS_PER_WORKER = 8;
  private static final double NANOS_PER_MILLI = 1e6;

  private StateSlopes() {}

  static List<Slope> measure() {
    return List.of(
        new Slope(
            "state-memory",
            "run records",
            "runs held",
            "bytes of heap of the replayed state",
            Measure.warmPoints(RUNS, n -> Measure.retainedBytes(() -> Samples.running((int) n)))),
        new Slope(
            "placement-memory",
            "placement",
            "tasks, on an eighth as many workers",
            "bytes of heap of a placer",
            Measure.warmPoints(TASKS, n -> Measure.retainedBytes(() -> placer((int) n)))),
        new Slope(
            "snapshot-bytes",
            "snapshots",
            "runs held",
            "bytes of a snapshot",
            Measure.points(RUNS, n -> RecordSlopes.bytes(snapshot((int) n)))),
        new Slope(
            "snapshot-write",
            "snapshots",
            "runs held",
            "ms to write a snapshot",
            Measure.warmPoints(RUNS, n -> writeMillis(Samples.running((int) n)))),
        new Slope(
            "snapshot-restore",
            "snapshots",
            "runs held",
            "ms to restore a snapshot",
            Measure.warmPoints(RUNS, n -> restoreMillis(snapshot((int) n)))));
  }

  /** Returns the snapshot as it goes into the log. */
  private static String snapshot(int runs) {
    return SnapshotCodec.compress(Samples.running(runs).snapshot());
  }

  private static double writeMillis(ClusterState state) {
    return Measure.nanos(() -> SnapshotCodec.compress(state.snapshot())) / NANOS_PER_MILLI;
  }

  private static double restoreMillis(String snapshot) {
    return Measure.nanos(() -> restore(snapshot)) / NANOS_PER_MILLI;
  }

  private static void restore(String snapshot) {
    try {
      ClusterState.restore(SnapshotCodec.decompress(snapshot));
    } catch (CodecException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Placer placer(int tasks) {
    Placer placer = new Placer(PlacementPolicy.builder().build());
    for (int i = 0; i < tasks / TASKS_PER_WORKER; i++) {
      placer.putWorker(Site.worker(i, new Resources(64_000, 262_144, TASKS_PER_WORKER)));
    }
    for (int i = 0; i < tasks; i++) {
      placer.enqueue(
          new PendingRun(Samples.task(i).run(), 1, "team-" + i % 41, Samples.spec(200), false, 1),
          0);
    }
    placer.decide(0, tasks, t -> tasks);
    return placer;
  }
}
