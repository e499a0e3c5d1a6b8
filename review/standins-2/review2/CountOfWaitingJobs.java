package review2;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * An executor loses power. Jobs whose tasks were sent to it have not begun, but are not counted as
 * waiting.
 */
public final class CountOfWaitingJobs {
  private static final int JOBS = 16;
  private static final long VISIBLE_MILLIS = 3_000;
  private static final long SLACK_MILLIS = 2_000;

  private CountOfWaitingJobs() {}

  public static void main(String[] args) {
    Cell.main(args, 10_000, CountOfWaitingJobs::play);
  }

  private static boolean play(Cell cell) throws Exception {
    cell.configure(1, 4, 0);
    for (int i = 1; i <= 8; i++) {
      cell.executor("i-" + i, "a", 4_000);
    }
    cell.startHosts(3);
    Thread.sleep(4_000);
    // One executor of eight.
    Executor lost = cell.executors.get(2);
    if (cell.trouble) {
      lost.goDark();
    }
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = "00000000000000%02x".formatted(i);
      cell.submit(id, "work=20000", Wire.object().put("count", 1).put("estimate_ms", 20_000).put("cpu", 2_000).put("mem_mb", 100));
      jobs.add(id);
    }
    long acceptedAt = cell.journal.now();
    boolean holds = true;
    while (cell.journal.now() < acceptedAt + VISIBLE_MILLIS + SLACK_MILLIS + 6_000) {
      boolean due = cell.journal.now() > acceptedAt + VISIBLE_MILLIS + SLACK_MILLIS;
      long begun = jobs.stream().filter(j -> !cell.starts(j).isEmpty()).count();
      Host host = cell.hosts.get((int) (cell.journal.now() / 250 % cell.hosts.size()));
      Host.Reply reply = host.call("GET", "/q1/", Cell.KEY, null, 3_000);
      // A job that begins between the two looks is not counted.
      long after = jobs.stream().filter(j -> !cell.starts(j).isEmpty()).count();
      JsonNode waiting = reply.status() == 200 ? Wire.read(reply.body().getBytes()).get("waiting") : null;
      if (due && waiting != null && begun == after && 2 * waiting.asLong() < JOBS - begun) {
        cell.journal.line(
            "broken: %s says that %d jobs wait; %d of %d have not begun, %d ms after the last was accepted",
            host.name, waiting.asLong(), JOBS - begun, JOBS, cell.journal.now() - acceptedAt);
        holds = false;
      }
      Thread.sleep(250);
    }
    return holds;
  }
}
