package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An executor is cut off, its job is cancelled, and the process that owns the executors is
 * restarted. The next owner does not count the runs of the cancelled job, which go on.
 */
public final class CancelledRunsAfterHandOver {
  private static final String FIRST = "00000000000000a1";
  private static final String SECOND = "00000000000000a2";
  private static final int TASK_CPU = 2_000;
  private static final int MAX_CPU = 8_000;
  private static final double OVERAGE = 0.1;
  private static final long CUT_MILLIS = 5_500;

  private CancelledRunsAfterHandOver() {}

  public static void main(String[] args) {
    Cell.main(args, 10_000, CancelledRunsAfterHandOver::play);
  }

  private static boolean play(Cell cell) throws Exception {
    cell.configure(1, 4, MAX_CPU);
    Executor first = cell.executor("i-1", "b", 8_000);
    for (int i = 2; i <= 6; i++) {
      cell.executor("i-" + i, "a", 8_000);
    }
    cell.startHosts(3);
    Thread.sleep(4_000);
    cell.submit(FIRST, "work=30000", step().put("required_label", "b"));
    cell.await("the first job runs", 5_000, () -> cell.starts(FIRST).size() == 4);
    Thread.sleep(1_500);
    cell.submit(SECOND, "work=3000", step().put("required_label", "a"));
    Thread.sleep(1_000);
    Host owner = cell.owner().orElseThrow();
    Host other = cell.other(owner);
    long cutAt = cell.journal.now();
    if (cell.trouble) {
      first.cut(true);
    }
    boolean cancelled = false;
    while (!cancelled && cell.journal.now() < cutAt + 2_000) {
      cancelled = other.call("DELETE", "/q1/" + FIRST, Cell.KEY, null, 3_000).status() == 200;
    }
    if (!cancelled) {
      throw new Cell.CannotRun("the cancellation was not accepted");
    }
    if (cell.trouble) {
      owner.terminate();
    }
    int most = 0;
    while (cell.journal.now() < cutAt + 14_000) {
      int running =
          cell.executors.stream().mapToInt(e -> e.runs().size() * TASK_CPU).sum();
      if (running > most) {
        most = running;
        cell.journal.line("the tenant has %d thousandths of a core running", running);
      }
      if (cell.trouble && cell.journal.now() > cutAt + CUT_MILLIS) {
        first.cut(false);
        cutAt = Long.MAX_VALUE / 4;
        break;
      }
      Thread.sleep(5);
    }
    cell.await("the second job has started", 20_000, () -> cell.starts(SECOND).size() >= 4);
    double allowed = MAX_CPU * (1 + OVERAGE) + TASK_CPU;
    cell.journal.say("most running: %d, allowed: %.0f", most, allowed);
    return most <= allowed;
  }

  private static ObjectNode step() {
    return Wire.object()
        .put("count", 4)
        .put("cpu", TASK_CPU)
        .put("mem_mb", 100)
        .put("estimate_ms", 3_000);
  }
}
