package io.cactusspring.benchmarks.slopes;

import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.codec.RecordCodec;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.state.ClusterState;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntFunction;

/** Size and replay time of log records. */
final class RecordSlopes {
  private static final double[] BATCHES = {1, 10, 50, 200};
  private static final double[] PAYLOADS = {0, 200, 1_000, 4_000};
  private static final double[] CHANGES = {1, 5, 20, 100};
  private static final double[] RETAINED_RUNS = {2_000, 8_000, 16_000, 32_000};
  private static final int REPLAYED = 500;
  private static final int NOTES = 50;
  private static final RecordCodec CODEC = new RecordCodec();

  private RecordSlopes() {}

  static List<Slope> measure() {
    return List.of(
        new Slope(
            "started-bytes",
            "run records",
            "starts in a record",
            "bytes of the record",
            sizes(BATCHES, n -> Samples.started(0, n, 12_345))),
        new Slope(
            "ended-bytes",
            "run records",
            "ends in a record",
            "bytes of the record",
            sizes(BATCHES, n -> Samples.ended(0, n, 12_345))),
        new Slope(
            "submission-bytes",
            "run records",
            "payload in characters",
            "bytes of the record",
            sizes(PAYLOADS, n -> Samples.submitted(0, 1, n))),
        new Slope(
            "note-bytes",
            "configuration",
            "changes in a note",
            "bytes of the record",
            sizes(CHANGES, n -> new LogRecord.NoteApplied(Samples.note(1, n)))),
        new Slope(
            "replay-job",
            "run records",
            "runs held",
            "us to decode and apply one job's three records",
            Measure.warmPoints(RETAINED_RUNS, n -> replayMicros((int) n))),
        new Slope(
            "replay-note",
            "configuration",
            "items in force",
            "us to decode and apply a note of one change",
            Measure.warmPoints(new double[] {200, 800, 3_200}, n -> noteMicros((int) n))));
  }

  private static List<Point> sizes(double[] sizes, IntFunction<LogRecord> entryOfSize) {
    return Measure.points(sizes, n -> bytes(CODEC.encode(entryOfSize.apply((int) n))));
  }

  static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  private static double replayMicros(int runs) {
    ClusterState state = Samples.running(runs);
    long epoch = state.claim(Samples.SHARD).orElseThrow().epoch();
    int[] next = {runs};
    double nanos = Measure.nanos(() -> replayJobs(state, next, epoch));
    return nanos / REPLAYED / 1_000;
  }

  private static void replayJobs(ClusterState state, int[] next, long epoch) {
    for (int i = 0; i < REPLAYED; i++) {
      int job = next[0]++;
      replay(state, Samples.submitted(job, 1, 200));
      replay(state, Samples.started(job, 1, epoch));
      replay(state, Samples.ended(job, 1, epoch));
    }
  }

  private static double noteMicros(int items) {
    ClusterState state = Samples.configured(items);
    int[] next = {1};
    Runnable work =
        () -> {
          for (int i = 0; i < NOTES; i++) {
            replay(state, new LogRecord.NoteApplied(Samples.replacement(state, next[0]++)));
          }
        };
    return Measure.nanos(work) / NOTES / 1_000;
  }

  private static void replay(ClusterState state, LogRecord entry) {
    try {
      Samples.apply(state, CODEC.decode(CODEC.encode(entry)));
    } catch (CodecException e) {
      throw new IllegalStateException(e);
    }
  }
}
