package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * Executors are added to a service. A gang with wide members, which is accepted afterwards, never
 * starts, because each call for advice names more workers than the service takes.
 */
public final class GangAmongManyExecutors {
  private static final String JOB = "00000000000000b1";
  private static final int EXECUTORS = 96;

  /** A quarter, the largest share of the site file. */
  private static final int ADDED = 24;

  private static final int MEMBERS = 24;
  private static final int CAPACITY = 8_000;
  private static final int MEMBER_CPU = 4_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long WITHOUT_RUN_MILLIS = 3_000;

  private GangAmongManyExecutors() {}

  public static void main(String[] args) {
    Cell.main(args, 10_000, GangAmongManyExecutors::play);
  }

  private static boolean play(Cell cell) throws Exception {
    // Two executors of three are allowed.
    Advice advice =
        new Advice(cell.journal, 40, 0.5, 2_500, id -> Integer.parseInt(id.substring(2)) % 3 != 0);
    advice.start();
    cell.advice = Optional.of(advice);
    cell.configure(1, 4, 0);
    for (int i = 1; i <= EXECUTORS; i++) {
      cell.executor("i-" + i, "a", CAPACITY);
    }
    cell.startHosts(3);
    Thread.sleep(4_000);
    if (cell.trouble) {
      cell.journal.line("%d executors are added", ADDED);
      for (int i = EXECUTORS + 1; i <= EXECUTORS + ADDED; i++) {
        cell.executor("i-" + i, "a", CAPACITY);
      }
    }
    Thread.sleep(4_000);
    ObjectNode step =
        Wire.object()
            .put("count", MEMBERS)
            .put("cpu", MEMBER_CPU)
            .put("mem_mb", 100)
            .put("estimate_ms", 1_000)
            .put("gang", true);
    cell.submit(JOB, "work=1000", step);
    Thread.sleep(FINISH_MILLIS);
    // The job is the only one, so that all room is free: more than twice what the gang needs.
    long since = cell.journal.now();
    while (cell.starts(JOB).isEmpty() && cell.journal.now() < since + WITHOUT_RUN_MILLIS + 1_000) {
      Thread.sleep(20);
    }
    boolean started = !cell.starts(JOB).isEmpty();
    cell.journal.say(
        "%s; state %s; %d calls for advice refused, %d answered",
        started
            ? "the gang started"
            : "no task has started " + (cell.journal.now() - since + FINISH_MILLIS) + " ms after the ack",
        cell.state(JOB),
        advice.refused.get(),
        advice.answered.get());
    return started;
  }
}
