package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Another writer leaves an entry among those of the executors, whose key holds bytes that are no
 * text; the entry stays. Clients go on handing in small jobs.
 */
final class BadEntry {
  private static final long TRAFFIC_MILLIS = 25_000;
  private static final long INTERVAL_MILLIS = 250;
  private static final long FINISH_MILLIS = 14_000;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final String KEY = "\u0000\u0001\u0002\u0003";

  private BadEntry() {}

  public static void main(String[] args) {
    System.exit(Cell.statusOf(() -> run(args)));
  }

  private static int run(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Cell cell = new Cell(Path.of(args[0]), task -> 400)) {
      cell.configure(4, "quick");
      for (int i = 0; i < 6; i++) {
        cell.executor("worker-" + i, 64_000, i);
      }
      cell.startHosts(3);
      cell.pause(12_000);
      long begun = cell.record.millis();
      List<String> accepted = Collections.synchronizedList(new ArrayList<>());
      String body =
          "{\"spec\":\"quick\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":400}]}";
      Thread writer = Thread.ofVirtual().unstarted(() -> writeBadEntry(cell));
      int sent = 0;
      while (cell.record.millis() - begun < TRAFFIC_MILLIS) {
        boolean due = cell.record.millis() - begun >= 5_000;
        if (trouble && due && writer.getState() == Thread.State.NEW) {
          writer.start();
        }
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
      cell.pause(FINISH_MILLIS);
      List<String> lost = cell.lost(List.copyOf(accepted));
      cell.record.tell(
          "\"internal error\" logged %d times", cell.logged("\"reason\":\"internal error\""));
      if (args.length > 1) {
        cell.keepLogs(Path.of(args[1]));
      }
      return lost.isEmpty() ? 0 : 1;
    }
  }

  /** Writes the entry again and again, as executors do with theirs, so that it does not expire. */
  private static void writeBadEntry(Cell cell) {
    try {
      ObjectNode entry = cell.executors.get(0).entry(Cell.SERVICE, 1);
      cell.record.tell(
          "another writer leaves an entry with the key %s: %s",
          Web.MAPPER.writeValueAsString(KEY), entry);
      while (true) {
        cell.store.put(Wire.SERVERS, KEY, entry);
        cell.pause(HEARTBEAT_MILLIS);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
