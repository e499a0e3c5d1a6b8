package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The tasks of a job that lasts end by themselves, with `done`, one after the other. */
final class LastingTasks {
  private static final String JOB = "5c0e7a21d94b36f8";
  private static final int TASKS = 8;
  private static final long FIRST_END_MILLIS = 4_000;
  private static final long NEVER = 1_000_000;

  /** A task that lasts has to run again 6 s after its last run, or is lost after 3 s more. */
  private static final long LOST_MILLIS = 9_000;

  private LastingTasks() {}

  public static void main(String[] args) {
    System.exit(Cell.statusOf(() -> run(args)));
  }

  private static int run(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Work work =
        new Work() {
          @Override
          public long millis(String task) {
            return NEVER;
          }

          @Override
          public long millis(String task, int run) {
            int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
            return trouble && run == 1 ? FIRST_END_MILLIS + 1_000 * index : NEVER;
          }

          @Override
          public boolean lasts(String task) {
            return true;
          }
        };
    try (Cell cell = new Cell(Path.of(args[0]), work)) {
      cell.configure(3, "feed");
      for (int i = 0; i < 6; i++) {
        cell.executor("worker-" + i, 64_000, i);
      }
      cell.startHosts(3);
      cell.pause(6_000);
      String body =
          "{\"spec\":\"feed\",\"steps\":[{\"count\":%d,\"cpu\":13000,\"mem_mb\":28000,\"estimate_ms\":500,\"long_running\":true}]}"
              .formatted(TASKS);
      int status = cell.submit("feed", JOB, body);
      cell.record.tell("the job is handed in: %d", status);
      if (status != 200) {
        return 2;
      }
      cell.pause(FIRST_END_MILLIS + 1_000 * TASKS + LOST_MILLIS + 3_000);
      List<String> lost = new ArrayList<>();
      long now = cell.record.millis();
      for (int i = 0; i < TASKS; i++) {
        List<Runs.Run> runs = cell.runs.of(JOB + ".0.0." + i);
        Runs.Run last = runs.get(runs.size() - 1);
        if (last.ended != 0 && now - last.ended >= LOST_MILLIS) {
          lost.add(last.task + ": " + last);
        }
      }
      cell.record.tell(
          "the job, which nobody cancelled, is %s; %d of %d tasks run, %d have had no run for 9 s",
          cell.state("feed", JOB), cell.runs.running(), TASKS, lost.size());
      lost.forEach(l -> cell.record.tell("  %s", l));
      if (args.length > 1) {
        cell.keepLogs(Path.of(args[1]));
      }
      return lost.isEmpty() ? 0 : 1;
    }
  }
}
