package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A client hands in a gang that can never run, because it asks for its memory in bytes instead of
 * megabytes, shortly after the machine that gave the orders was killed. Other clients go on handing
 * in small jobs.
 */
final class PoisonGang {
  private static final String GANG = "00000000000000aa";
  private static final long TRAFFIC_MILLIS = 25_000;
  private static final long INTERVAL_MILLIS = 250;
  private static final long FINISH_MILLIS = 14_000;
  private static final long RESTART_MILLIS = 3_500;
  private static final int GANG_TASKS = 24;
  private static final long GIB = 1L << 30;

  private PoisonGang() {}

  public static void main(String[] args) {
    System.exit(Cell.statusOf(() -> run(args)));
  }

  private static String small(int number) {
    return "5c0e7a21d94b%04x".formatted(number);
  }

  private static int run(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Cell cell = new Cell(Path.of(args[0]), task -> 400)) {
      cell.configure(4, "quick", "batch");
      for (int i = 0; i < 6; i++) {
        cell.executor("worker-" + i, 64_000, i);
      }
      cell.startHosts(3);
      // Traffic starts 15 s after the machines do.
      cell.pause(12_000);
      Host owner = cell.owner();
      long begun = cell.record.millis();
      Thread gang =
          Thread.ofVirtual()
              .start(
                  () -> {
                    cell.pause(4_000);
                    if (trouble) {
                      owner.kill();
                    }
                    cell.pause(1_500);
                    handInGang(cell, owner);
                    cell.pause(RESTART_MILLIS - 1_500);
                    if (trouble) {
                      restart(owner);
                    }
                  });
      int sent = 0;
      String body =
          "{\"spec\":\"quick\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":400}]}";
      List<String> accepted = Collections.synchronizedList(new ArrayList<>());
      while (cell.record.millis() - begun < TRAFFIC_MILLIS) {
        String id = small(sent++);
        Thread.ofVirtual()
            .start(
                () -> {
                  if (cell.submit("quick", id, body) == 200) {
                    accepted.add("quick/" + id);
                  }
                });
        cell.pause(INTERVAL_MILLIS);
      }
      gang.join();
      cell.record.tell("%d jobs were handed in, %d accepted", sent, accepted.size());
      cell.pause(FINISH_MILLIS);
      List<String> lost = cell.lost(List.copyOf(accepted));
      cell.record.tell(
          "the gang is %s; \"internal error\" logged %d times",
          cell.state("batch", GANG), cell.logged("\"reason\":\"internal error\""));
      if (args.length > 1) {
        cell.keepLogs(Path.of(args[1]));
      }
      return lost.isEmpty() ? 0 : 1;
    }
  }

  private static void handInGang(Cell cell, Host killed) {
    String body =
        "{\"spec\":\"gang\",\"steps\":[{\"count\":%d,\"cpu\":2000,\"mem_mb\":%d,\"estimate_ms\":4000,\"gang\":true}]}"
            .formatted(GANG_TASKS, 64 * GIB);
    Host host = cell.hosts.stream().filter(h -> h != killed).findFirst().orElseThrow();
    Cell.Answer answer = cell.call(host, "POST", "batch", GANG, body);
    cell.record.tell("the gang is handed in: %d %s", answer.status(), answer.body());
  }

  private static void restart(Host host) {
    try {
      host.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
