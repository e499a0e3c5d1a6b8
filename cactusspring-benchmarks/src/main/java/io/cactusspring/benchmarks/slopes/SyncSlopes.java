package io.cactusspring.benchmarks.slopes;

import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.codec.RecordCodec;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.shard.WorkerReport;
import java.util.List;
import java.util.stream.IntStream;

/** Size and time of a worker's sync, which renews the leases of its tasks. */
final class SyncSlopes {
  private static final double[] TASKS = {1, 8, 32, 64};
  private static final RecordCodec CODEC = new RecordCodec();
  private static final Resources SIZE = new Resources(8_000, 16_384, 1);
  private static final int REPEATS = 200;

  private SyncSlopes() {}

  static List<Slope> measure() {
    return List.of(
        new Slope(
            "sync-bytes",
            "placement",
            "tasks on a worker",
            "bytes of the lists of a sync and its answer",
            Measure.points(TASKS, n -> bytes((int) n))),
        new Slope(
            "sync-time",
            "placement",
            "tasks on a worker",
            "us to write and read the lists of a sync",
            Measure.warmPoints(TASKS, n -> micros((int) n))));
  }

  private static double bytes(int tasks) {
    double full = RecordSlopes.bytes(CODEC.encodeValue(report(tasks)));
    double brief = RecordSlopes.bytes(CODEC.encodeValue(report(0)));
    double answer = brief + (full - brief) / WorkerReport.SYNCS_PER_FULL_LIST;
    return RecordSlopes.bytes(CODEC.encodeValue(renewed(tasks))) + answer;
  }

  private static double micros(int tasks) {
    String answer = CODEC.encodeValue(report(tasks));
    Runnable work =
        () -> {
          for (int i = 0; i < REPEATS; i++) {
            CODEC.encodeValue(renewed(tasks));
            decode(answer);
          }
        };
    return Measure.nanos(work) / REPEATS / 1_000;
  }

  private static void decode(String answer) {
    try {
      CODEC.decodeValue(answer, WorkerReport.class);
    } catch (CodecException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<TaskId> renewed(int tasks) {
    return IntStream.range(0, tasks).mapToObj(Samples::task).toList();
  }

  private static WorkerReport report(int tasks) {
    return new WorkerReport(
        "00112233-4455-6677-8899-aabbccddeeff",
        renewed(tasks).stream().map(t -> new WorkerReport.Running(t, SIZE, SIZE)).toList(),
        List.of());
  }
}
