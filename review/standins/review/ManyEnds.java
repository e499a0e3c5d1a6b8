package review;

import java.nio.file.Path;
import java.util.List;

/**
 * Ten jobs of 90 small tasks run, most of them on one executor, while the platform's store is down
 * for 4.5 s. Their ends can't be acknowledged meanwhile, and the executor lists 500 at a time.
 */
final class ManyEnds {
  private static final int JOBS = 10;
  private static final int TASKS = 90;
  private static final long DOWN_MILLIS = 4_500;

  private ManyEnds() {}

  public static void main(String[] args) {
    System.exit(Cell.statusOf(() -> run(args)));
  }

  private static int run(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Work work = task -> 6_000 + 45L * Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
    try (Cell cell = new Cell(Path.of(args[0]), work)) {
      cell.configure(4, "batch");
      for (int i = 0; i < 3; i++) {
        cell.executor("worker-" + i, 64_000, i);
      }
      cell.startHosts(3);
      cell.pause(6_000);
      String body =
          "{\"spec\":\"count\",\"steps\":[{\"count\":%d,\"cpu\":50,\"mem_mb\":100,\"estimate_ms\":8000}]}"
              .formatted(TASKS);
      long handedIn = cell.record.millis();
      for (int i = 0; i < JOBS; i++) {
        int status = cell.submit("batch", id(i), body);
        cell.record.tell("job %s is handed in: %d", id(i), status);
        if (status != 200) {
          return 2;
        }
      }
      cell.pause(handedIn + 6_500 - cell.record.millis());
      cell.record.tell("%d runs are at work", cell.runs.running());
      if (trouble) {
        cell.store.down(true);
        cell.pause(DOWN_MILLIS);
        cell.store.down(false);
      }
      long until = cell.record.millis() + 30_000;
      int completed = 0;
      while (cell.record.millis() < until && completed < JOBS) {
        cell.pause(500);
        completed = 0;
        for (int i = 0; i < JOBS; i++) {
          completed += cell.state("batch", id(i)).equals("completed") ? 1 : 0;
        }
      }
      cell.pause(3_000);
      List<String> twice = cell.runs.twice();
      cell.record.tell(
          "%d of %d jobs are completed; %d starts of %d tasks; rule TWICE broken %d times",
          completed, JOBS, cell.runs.all().size(), JOBS * TASKS, twice.size());
      twice.stream().limit(5).forEach(t -> cell.record.tell("  %s", t));
      if (args.length > 1) {
        cell.keepLogs(Path.of(args[1]));
      }
      return twice.isEmpty() ? 0 : 1;
    }
  }

  private static String id(int job) {
    return "5c0e7a21d94b36%02x".formatted(job);
  }
}
