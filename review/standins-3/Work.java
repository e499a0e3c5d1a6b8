package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs of the clients: what they hand in, and how their tasks behave on executors. */
final class Work {
  /**
   * A step of a job.
   *
   * @param count number of tasks
   * @param cpu thousandths of a core that each task requests
   * @param millis how long a task works
   * @param failing index of the task whose runs fail; -1 for none
   * @param failAfter after how much work these runs fail, in milliseconds
   * @param gang whether the tasks work only together
   * @param lasting whether the tasks run until the job is cancelled
   * @param apart whether at most one task of the step runs on an executor
   * @param after numbers of earlier steps
   */
  record Step(
      int count,
      int cpu,
      long millis,
      int failing,
      long failAfter,
      boolean gang,
      boolean lasting,
      boolean apart,
      List<Integer> after) {
    static Step plain(int count, int cpu, long millis, Integer... after) {
      return new Step(count, cpu, millis, -1, 0, false, false, false, List.of(after));
    }

    static Step gang(int count, int cpu, long millis, Integer... after) {
      return new Step(count, cpu, millis, -1, 0, true, false, false, List.of(after));
    }

    static Step lasting(int count, int cpu) {
      return new Step(count, cpu, 0, -1, 0, false, true, false, List.of());
    }

    Step failing(int index, long millisOfWork) {
      return new Step(count, cpu, millis, index, millisOfWork, gang, lasting, apart, after);
    }

    Step onePerExecutor() {
      return new Step(count, cpu, millis, failing, failAfter, gang, lasting, true, after);
    }
  }

  /**
   * A job; its id is chosen by the client.
   *
   * @param startMillis when its only occurrence is due, in milliseconds since 1970; 0 for a job
   *     without occurrences
   */
  record Job(String id, String spec, List<Step> steps, long startMillis) {
    Job(String id, List<Step> steps) {
      this(id, "job " + id, steps, 0);
    }

    byte[] body() throws Exception {
      ObjectNode body = Store.JSON.createObjectNode().put("spec", spec);
      if (startMillis > 0) {
        body.put("start_ms", startMillis).put("interval_ms", 60_000).put("repetitions", 1);
      }
      ArrayNode rows = body.putArray("steps");
      for (Step step : steps) {
        ObjectNode row =
            rows.addObject().put("count", step.count).put("cpu", step.cpu).put("mem_mb", 64);
        row.put("estimate_ms", Math.max(100, step.millis));
        if (step.gang) {
          row.put("gang", true);
        }
        if (step.lasting) {
          row.put("long_running", true);
        }
        if (startMillis > 0) {
          // Timed jobs name what their steps run and where the data lies, as nightly work does.
          row.put("image", "registry/restock-plan/step-" + rows.size() + ":2026-12-07");
          row.put("affinity", "r1-" + rows.size());
        }
        if (step.apart) {
          row.put(Names.of("apart"), 1);
        }
        if (!step.after.isEmpty()) {
          ArrayNode after = row.putArray("after");
          step.after.forEach(after::add);
        }
      }
      return Store.JSON.writeValueAsBytes(body);
    }
  }

  private final Map<String, Job> jobs = new ConcurrentHashMap<>();

  void add(Job job) {
    jobs.put(job.id, job);
  }

  List<Job> all() {
    return new ArrayList<>(jobs.values());
  }

  Job job(String id) {
    return jobs.get(id);
  }

  /** Returns the step of a task, named ID.K.STEP.INDEX; null if no client sent it. */
  Step step(String task) {
    String[] parts = task.split("\\.");
    Job job = jobs.get(parts[0]);
    int step = Integer.parseInt(parts[2]);
    return job == null || step >= job.steps.size() ? null : job.steps.get(step);
  }

  static int index(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
  }
}
