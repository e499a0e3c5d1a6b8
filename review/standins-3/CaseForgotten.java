package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Accepted jobs that have ended are unknown after the store was slow for a while and, later, the
 * process was killed that last wrote to it under a condition.
 */
final class CaseForgotten {
  private static final Cell.Queue QUEUE = new Cell.Queue("r-a", "/a/", Case.SERVICE, 1, 1);
  private static final long USUAL_MILLIS = 4;
  private static final long SLOW_MILLIS = 60 * USUAL_MILLIS;
  private static final long SLOW_FOR_MILLIS = 4_500;
  private static final int SLOW_TIMES = 9;

  /** How often tasks of each job were started. */
  private static final Map<String, Integer> STARTS = new ConcurrentHashMap<>();

  private CaseForgotten() {}

  public static void main(String[] args) throws Exception {
    Executors.Listener listener =
        new Executors.Listener() {
          @Override
          public void started(String executor, String task, int run, long fence) {
            STARTS.merge(task.substring(0, task.indexOf('.')), 1, Integer::sum);
          }
        };
    Case.main(args, 3, 8, listener, CaseForgotten::play);
  }

  /** Every third job ends with a gang; the others fail by the fault of one of their tasks. */
  private static List<Work.Step> steps(int number) {
    Work.Step first = Work.Step.plain(2, 3_000, 300);
    return number % 3 == 0
        ? List.of(first, Work.Step.gang(4, 3_000, 500, 0).onePerExecutor())
        : List.of(first, Work.Step.plain(4, 3_000, 4_000, 0).failing(0, 400).onePerExecutor());
  }

  private static boolean play(Case.Stage stage, boolean trouble) throws Exception {
    Recorder recorder = stage.recorder();
    Cell cell = stage.cell();
    cell.configure(1, Case.SERVICE, Case.queues(QUEUE));
    cell.start();
    Thread.sleep(6_000);
    Thread slow = Thread.ofVirtual().start(() -> slowDown(stage, trouble));
    Map<String, Long> accepted = new ConcurrentHashMap<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; slow.isAlive(); i++) {
      Work.Job job =
          new Work.Job(String.format("%016x", 0x5c0e7a2100000000L + i), steps(i));
      stage.work().add(job);
      int node = i;
      clients.add(Thread.ofVirtual().start(() -> handIn(stage, job, node, accepted)));
      Thread.sleep(110);
    }
    for (Thread client : clients) {
      client.join();
    }
    Thread.sleep(7_000);
    Map<String, Set<String>> before = ask(stage, accepted.keySet());
    recorder.say("%d jobs were accepted; their states: %s", accepted.size(), count(before));
    if (trouble) {
      cell.leader().kill();
    }
    Thread.sleep(6_000);
    Map<String, Set<String>> after = ask(stage, accepted.keySet());
    recorder.say("asked again: %s", count(after));
    after.forEach(
        (id, answers) -> {
          if (answers.contains("410")) {
            recorder.say("accepted job %s was %s and is answered 410", id, before.get(id));
          }
        });
    repeatOne(stage, after);
    return after.values().stream().anyMatch(a -> a.contains("410"));
  }

  /** Sends a late copy of the newest request that is not known any more; the record shows more. */
  private static void repeatOne(Case.Stage stage, Map<String, Set<String>> answers)
      throws Exception {
    String newest =
        answers.keySet().stream()
            .filter(id -> answers.get(id).contains("410"))
            .max(String::compareTo)
            .orElse(null);
    if (newest != null) {
      Work.Job job = stage.work().job(newest);
      int before = STARTS.get(newest);
      int status = stage.cell().submit(QUEUE, job, 0).status();
      Thread.sleep(3_000);
      stage
          .recorder()
          .say(
              "a late copy of job %s is answered %d; its tasks were started %d times before and %d"
                  + " times since",
              newest, status, before, STARTS.get(newest) - before);
    }
  }

  private static void slowDown(Case.Stage stage, boolean trouble) {
    try {
      for (int i = 0; i < SLOW_TIMES; i++) {
        if (trouble) {
          stage.store().answerMillis(SLOW_MILLIS);
          stage.recorder().say("an answer of the store takes %d ms", SLOW_MILLIS);
        }
        Thread.sleep(SLOW_FOR_MILLIS);
        if (trouble) {
          stage.store().answerMillis(USUAL_MILLIS);
          stage.recorder().say("an answer of the store takes %d ms", USUAL_MILLIS);
        }
        Thread.sleep(3_000);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void handIn(
      Case.Stage stage, Work.Job job, int node, Map<String, Long> accepted) {
    try {
      if (stage.cell().submit(QUEUE, job, node).status() / 100 == 2) {
        accepted.put(job.id(), stage.recorder().millis());
      }
    } catch (Exception e) {
      stage.recorder().line("a client failed: %s", e);
    }
  }

  /** Asks a process that is up for the states of jobs. */
  private static Map<String, Set<String>> ask(Case.Stage stage, Set<String> ids)
      throws InterruptedException {
    Map<String, Set<String>> answers = new TreeMap<>();
    Cell.Node node = stage.cell().nodes().stream().filter(Cell.Node::isAlive).findFirst().get();
    for (String id : ids) {
      Cell.Answer answer = stage.cell().call(node, "GET", QUEUE.prefix() + id, null);
      answers
          .computeIfAbsent(id, k -> new TreeSet<>())
          .add(answer.status() == 200 ? answer.state() : String.valueOf(answer.status()));
    }
    return answers;
  }

  private static Map<Set<String>, Integer> count(Map<String, Set<String>> answers) {
    Map<Set<String>, Integer> counts = new HashMap<>();
    answers.values().forEach(a -> counts.merge(a, 1, Integer::sum));
    return counts;
  }
}
