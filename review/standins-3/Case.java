package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Runs a case: starts a small deployment, plays the case, and ends all processes. Exits with 1 if
 * the rule was broken, 0 if it held, and 2 if the case could not run.
 */
final class Case {
  static final String SERVICE = "svc";
  static final int EXECUTOR_CPU = 32_000;
  static final long MAX_HOLD_MILLIS = 6_000;
  static final long STOP_MILLIS = 200;

  /** What a case uses. */
  record Stage(Recorder recorder, Store store, Work work, Executors executors, Cell cell) {}

  /** Plays a case; returns whether the rule was broken. */
  interface Play {
    boolean run(Stage stage, boolean trouble) throws Exception;
  }

  private Case() {}

  static void main(
      String[] args, int nodes, int executors, Executors.Listener listener, Play play)
      throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review-3");
    int status = 2;
    try (Recorder recorder = new Recorder(Path.of(args[0], "record.txt"))) {
      status = run(recorder, folder, nodes, executors, listener, play, trouble);
    } finally {
      Cell.delete(folder);
    }
    System.exit(status);
  }

  private static int run(
      Recorder recorder,
      Path folder,
      int nodes,
      int count,
      Executors.Listener listener,
      Play play,
      boolean trouble) {
    Work work = new Work();
    try (Store store = new Store();
        Executors executors =
            new Executors(
                recorder,
                store,
                work,
                SERVICE,
                count,
                EXECUTOR_CPU,
                MAX_HOLD_MILLIS,
                STOP_MILLIS - 50,
                listener);
        Cell cell = new Cell(recorder, store, folder, nodes, MAX_HOLD_MILLIS, STOP_MILLIS)) {
      Thread guard = new Thread(cell::close);
      Runtime.getRuntime().addShutdownHook(guard);
      boolean broken = play.run(new Stage(recorder, store, work, executors, cell), trouble);
      recorder.say(broken ? "the rule was broken" : "the rule held");
      return broken ? 1 : 0;
    } catch (Exception e) {
      recorder.say("the case could not run: %s", e);
      return 2;
    }
  }

  static List<Cell.Queue> queues(Cell.Queue... queues) {
    return List.of(queues);
  }
}
