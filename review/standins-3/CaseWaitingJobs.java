package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some thousand timed jobs wait until they are due. One process is killed, and all others end by
 * themselves again and again, each as soon as it takes over.
 */
final class CaseWaitingJobs {
  private static final Cell.Queue QUEUE = new Cell.Queue("r-a", "/a/", Case.SERVICE, 1, 1);
  private static final int JOBS = 3_200;
  private static final int STEPS = 30;
  private static final long INTERVAL_MILLIS = 22;
  private static final int MAX_OPEN = 64;
  private static final long DUE_IN_MILLIS = 3_600_000;

  /** From the kill until jobs are asked for; more than finish_s, and than recover_s. */
  private static final long UNTIL_ASKED_MILLIS = 14_000;

  /** For how long a client repeats its request, at one process after the other. */
  private static final long ASKED_MILLIS = 12_000;

  private static final int ASKED_JOBS = 10;
  private static final long PAUSE_MILLIS = 500;

  /** How long the platform takes to restart a process that has ended. */
  private static final long RESTART_MILLIS = 1_000;

  /** Less than 4,000 bytes in UTF-8. */
  private static final String SPEC =
      "Rītdienas krājumu plāns: šķēres, skuvekļi, pomāde. ".repeat(80).substring(0, 3_300);

  private CaseWaitingJobs() {}

  public static void main(String[] args) throws Exception {
    Case.main(args, 4, 4, new Executors.Listener() {}, CaseWaitingJobs::play);
  }

  private static boolean play(Case.Stage stage, boolean trouble) throws Exception {
    Recorder recorder = stage.recorder();
    Cell cell = stage.cell();
    cell.configure(1, Case.SERVICE, Case.queues(QUEUE));
    cell.start();
    Thread.sleep(2_000);
    Set<String> accepted = handIn(stage);
    Thread.sleep(2_000);
    recorder.say("%d timed jobs are accepted, none is due", accepted.size());
    Map<Cell.Node, AtomicInteger> ends = new LinkedHashMap<>();
    cell.nodes().forEach(n -> ends.put(n, new AtomicInteger()));
    AtomicBoolean over = new AtomicBoolean();
    Thread platform = Thread.ofPlatform().daemon().start(() -> restart(stage, ends, over));
    if (trouble) {
      cell.leader().kill();
    }
    Thread.sleep(UNTIL_ASKED_MILLIS);
    List<String> asked = accepted.stream().limit(ASKED_JOBS).toList();
    Set<String> answered = ask(stage, asked);
    over.set(true);
    platform.join();
    ends.forEach(
        (node, count) ->
            recorder.say("process %s has ended %d times, kills included", node.name, count.get()));
    recorder.say("%d of %d accepted jobs were answered with 200", answered.size(), asked.size());
    return answered.size() < asked.size();
  }

  /** Restarts processes that have ended, as the platform does. */
  private static void restart(
      Case.Stage stage, Map<Cell.Node, AtomicInteger> ends, AtomicBoolean over) {
    Map<Cell.Node, Long> startAt = new HashMap<>();
    try {
      while (!over.get()) {
        for (Cell.Node node : stage.cell().nodes()) {
          long now = stage.recorder().millis();
          if (!node.isAlive() && !startAt.containsKey(node)) {
            ends.get(node).incrementAndGet();
            stage.recorder().say("process %s has ended with %d", node.name, node.exitValue());
            startAt.put(node, now + RESTART_MILLIS);
          } else if (startAt.getOrDefault(node, Long.MAX_VALUE) <= now) {
            startAt.remove(node);
            node.start();
          }
        }
        Thread.sleep(20);
      }
    } catch (Exception e) {
      stage.recorder().say("processes can't be restarted: %s", e);
    }
  }

  /** Asks for jobs as clients do, and returns those for which a process has answered 200. */
  private static Set<String> ask(Case.Stage stage, List<String> ids) throws InterruptedException {
    Set<String> answered = ConcurrentHashMap.newKeySet();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < ids.size(); i++) {
      String id = ids.get(i);
      int first = i;
      clients.add(Thread.ofVirtual().start(() -> ask(stage, id, first, answered)));
    }
    for (Thread client : clients) {
      client.join();
    }
    return answered;
  }

  private static void ask(Case.Stage stage, String id, int first, Set<String> answered) {
    List<Cell.Node> nodes = stage.cell().nodes();
    long until = stage.recorder().millis() + ASKED_MILLIS;
    try {
      for (int i = 0; stage.recorder().millis() < until && !answered.contains(id); i++) {
        Cell.Node node = nodes.get((first + i) % nodes.size());
        if (stage.cell().call(node, "GET", QUEUE.prefix() + id, null).status() == 200) {
          answered.add(id);
        }
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Hands all jobs in and returns the ids of those that were accepted. */
  private static Set<String> handIn(Case.Stage stage) throws Exception {
    Set<String> accepted = ConcurrentHashMap.newKeySet();
    long due = System.currentTimeMillis() + DUE_IN_MILLIS;
    Semaphore open = new Semaphore(MAX_OPEN);
    long begin = stage.recorder().millis();
    for (int i = 0; i < JOBS; i++) {
      Work.Job job =
          new Work.Job(String.format("%016x", 0x5c0e7a2100000000L + i), i + SPEC, steps(), due);
      int node = i;
      open.acquire();
      Thread.ofVirtual()
          .start(
              () -> {
                try {
                  if (stage.cell().submit(QUEUE, job, node).status() / 100 == 2) {
                    accepted.add(job.id());
                  }
                } catch (Exception e) {
                  stage.recorder().line("a client failed: %s", e);
                } finally {
                  open.release();
                }
              });
      Thread.sleep(Math.max(0, begin + i * INTERVAL_MILLIS - stage.recorder().millis()));
    }
    open.acquire(MAX_OPEN);
    return accepted;
  }

  private static List<Work.Step> steps() {
    List<Work.Step> steps = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      steps.add(
          i == 0 ? Work.Step.plain(4, 500, 1_000) : Work.Step.plain(4, 500, 1_000, i - 1));
    }
    return steps;
  }
}
