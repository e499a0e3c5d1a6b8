package review2;

/**
 * An executor loses power for good, and a second later the process that owns the executors is
 * killed. The next owner waits for eleven seconds until it starts the lasting task elsewhere.
 */
public final class LastingTaskAfterLosses {
  private static final String JOB = "00000000000000c1";

  /** RULES.md: from 6 s after the last run, for 3 s, if these and the 4 s before are calm. */
  private static final long AFTER_RUN_MILLIS = 6_000;

  private static final long CALM_BEFORE_MILLIS = 4_000;
  private static final long WITHOUT_RUN_MILLIS = 3_000;

  private LastingTaskAfterLosses() {}

  public static void main(String[] args) {
    Cell.main(args, 10_000, LastingTaskAfterLosses::play);
  }

  private static boolean play(Cell cell) throws Exception {
    cell.configure(1, 4, 0);
    for (int i = 1; i <= 8; i++) {
      cell.executor("i-" + i, "a", 8_000);
    }
    cell.startHosts(3);
    Thread.sleep(3_000);
    cell.submit(
        JOB,
        "lasts",
        Wire.object()
            .put("count", 1)
            .put("cpu", 2_000)
            .put("mem_mb", 100)
            .put("estimate_ms", 500)
            .put("long_running", true));
    cell.await("the task runs", 5_000, () -> !cell.starts(JOB).isEmpty());
    Thread.sleep(4_000);
    Executor executor = cell.starts(JOB).get(0).executor();
    long lastRunAt = cell.journal.now();
    long disturbedAt = lastRunAt;
    if (cell.trouble) {
      executor.goDark();
      Thread.sleep(1_100);
      Host owner = cell.owner().orElseThrow();
      owner.kill();
      // The platform starts a process again after a short delay.
      Thread.sleep(500);
      owner.start();
      disturbedAt = cell.journal.now();
    }
    long from = Math.max(lastRunAt + AFTER_RUN_MILLIS, disturbedAt + CALM_BEFORE_MILLIS);
    long limit = lastRunAt + 20_000;
    while (cell.trouble && cell.starts(JOB).size() < 2 && cell.journal.now() < limit) {
      Thread.sleep(10);
    }
    long startedAt = cell.trouble ? cell.journal.now() : lastRunAt;
    while (cell.journal.now() < from + WITHOUT_RUN_MILLIS) {
      Thread.sleep(10);
    }
    if (!cell.trouble) {
      boolean runs = !executor.runs().isEmpty() && cell.starts(JOB).size() == 1;
      cell.journal.say("the task %s", runs ? "ran all the time" : "did not run all the time");
      return runs;
    }
    cell.journal.say(
        "the task started again %d ms after its last run, at the latest it may after %d ms",
        startedAt - lastRunAt, from + WITHOUT_RUN_MILLIS - lastRunAt);
    return startedAt <= from + WITHOUT_RUN_MILLIS;
  }
}
