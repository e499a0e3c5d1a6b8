package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A client hands in a scheduled job whose start it gives in seconds instead of milliseconds, so that
 * all its occurrences are due at once. Other clients go on handing in small jobs.
 */
final class ScheduleFlood {
  private static final String SCHEDULE = "00000000000000aa";
  private static final long TRAFFIC_MILLIS = 25_000;
  private static final long INTERVAL_MILLIS = 250;
  private static final long FINISH_MILLIS = 14_000;
  private static final long RESTART_MILLIS = 1_000;
  private static final int REPETITIONS = 5_000;

  private ScheduleFlood() {}

  public static void main(String[] args) {
    System.exit(Cell.statusOf(() -> run(args)));
  }

  private static int run(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Cell cell = new Cell(Path.of(args[0]), task -> 400)) {
      cell.configure(4, "quick", "batch");
      for (int i = 0; i < 6; i++) {
        cell.executor("worker-" + i, 64_000, i);
      }
      cell.startHosts(3);
      cell.pause(12_000);
      long begun = cell.record.millis();
      List<String> accepted = Collections.synchronizedList(new ArrayList<>());
      String body =
          "{\"spec\":\"quick\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":400}]}";
      int sent = 0;
      int exits = 0;
      boolean handedIn = false;
      while (cell.record.millis() - begun < TRAFFIC_MILLIS) {
        if (!handedIn && cell.record.millis() - begun >= 5_000) {
          handedIn = true;
          long now = System.currentTimeMillis();
          long start = trouble ? now / 1_000 : now;
          Thread.ofVirtual()
              .start(
                  () ->
                      cell.record.tell(
                          "the schedule is handed in: %d",
                          cell.submit("batch", SCHEDULE, schedule(start))));
        }
        exits += restartEnded(cell);
        String id = "5c0e7a21d94b%04x".formatted(sent++);
        Thread.ofVirtual()
            .start(
                () -> {
                  if (cell.submit("quick", id, body) == 200) {
                    accepted.add("quick/" + id);
                  }
                });
        cell.pause(INTERVAL_MILLIS);
      }
      cell.record.tell("%d jobs were handed in, %d accepted", sent, accepted.size());
      long until = cell.record.millis() + FINISH_MILLIS;
      while (cell.record.millis() < until) {
        cell.pause(INTERVAL_MILLIS);
        exits += restartEnded(cell);
      }
      List<String> lost = cell.lost(List.copyOf(accepted));
      cell.record.tell("processes ended by themselves %d times", exits);
      if (args.length > 1) {
        cell.keepLogs(Path.of(args[1]));
      }
      return lost.isEmpty() && exits == 0 ? 0 : 1;
    }
  }

  /** Starts the processes again that have ended; returns how many. */
  private static int restartEnded(Cell cell) throws Exception {
    int ended = 0;
    for (Host host : cell.hosts) {
      if (!host.isAlive()) {
        ended++;
        cell.record.tell("the process of %s has ended by itself", host.name);
        cell.pause(RESTART_MILLIS);
        host.start();
      }
    }
    return ended;
  }

  private static String schedule(long start) {
    return "{\"spec\":\"schedule\",\"steps\":[{\"count\":96,\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":400}],\"repetitions\":%d,\"interval_ms\":1000,\"start_ms\":%d}"
        .formatted(REPETITIONS, start);
  }
}
