package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Large work comes at once: 7,500 tasks that save their progress, as one job, or without the
 * disruption as 75 jobs of 100 tasks. Other clients go on handing in small jobs.
 */
final class WideJob {
  private static final int TASKS = 7_500;
  private static final int SMALL_PARTS = 75;
  private static final long TRAFFIC_MILLIS = 30_000;
  private static final long INTERVAL_MILLIS = 250;
  private static final long FINISH_MILLIS = 14_000;
  private static final String WIDE = "00000000000000";

  private WideJob() {}

  public static void main(String[] args) {
    System.exit(Cell.statusOf(() -> run(args)));
  }

  private static int run(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Work work =
        new Work() {
          @Override
          public long millis(String task) {
            return task.startsWith(WIDE) ? 8_000 : 400;
          }

          @Override
          public boolean saves(String task) {
            return task.startsWith(WIDE);
          }
        };
    try (Cell cell = new Cell(Path.of(args[0]), work)) {
      cell.configure(4, "quick", "batch");
      for (int i = 0; i < 7; i++) {
        cell.executor("i-%08x".formatted(0x5c0e7a21 + i), 64_000, i);
      }
      cell.startHosts(3);
      cell.pause(12_000);
      long begun = cell.record.millis();
      List<String> accepted = Collections.synchronizedList(new ArrayList<>());
      Thread.ofVirtual()
          .start(
              () -> {
                cell.pause(4_000);
                int parts = trouble ? 1 : SMALL_PARTS;
                for (int i = 0; i < parts; i++) {
                  String id = WIDE + "%02x".formatted(i);
                  int status = 503;
                  // A client that was turned away comes back.
                  for (int attempt = 0; attempt < 10 && status == 503; attempt++) {
                    cell.pause(attempt == 0 ? 0 : 1_000);
                    status = cell.submit("batch", id, wide(TASKS / parts));
                    cell.record.line("job %s of %d tasks: %d", id, TASKS / parts, status);
                  }
                  if (status == 200) {
                    accepted.add("batch/" + id);
                  }
                }
              });
      int sent = 0;
      String body =
          "{\"spec\":\"quick\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":400}]}";
      while (cell.record.millis() - begun < TRAFFIC_MILLIS) {
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
      cell.record.tell("%d small jobs were handed in, %d jobs accepted", sent, accepted.size());
      cell.pause(FINISH_MILLIS);
      List<String> lost = cell.lost(List.copyOf(accepted));
      cell.record.tell("the store refused %d appends as too large", cell.store.tooLarge());
      if (args.length > 1) {
        cell.keepLogs(Path.of(args[1]));
      }
      return lost.isEmpty() ? 0 : 1;
    }
  }

  private static String wide(int tasks) {
    return "{\"spec\":\"wide\",\"steps\":[{\"count\":%d,\"cpu\":50,\"mem_mb\":20,\"estimate_ms\":8000,\"%s\":true}]}"
        .formatted(tasks, Wire.SAVES);
  }
}
