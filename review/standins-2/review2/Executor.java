package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An executor as PROTOCOL.md describes it. The spec of a job tells how long a task works: {@code
 * work=MILLIS}, or {@code lasts}.
 */
final class Executor {
  private static final Pattern WORK = Pattern.compile("work=([0-9]+)");

  /** A task that runs, or ran, here. */
  static final class Run {
    final String task;
    final int number;
    final String spec;
    final long startedAt;
    final boolean lasts;
    final double workMillis;
    double doneMillis;
    int percent = 100;
    long stopAt = Long.MAX_VALUE;
    long endedAt = Long.MAX_VALUE;
    String how = "";

    Run(String task, int number, String spec, long startedAt) {
      this.task = task;
      this.number = number;
      this.spec = spec;
      this.startedAt = startedAt;
      lasts = spec.contains("lasts");
      Matcher work = WORK.matcher(spec);
      workMillis = work.find() ? Long.parseLong(work.group(1)) : 500;
    }

    String job() {
      return task.substring(0, task.indexOf('.'));
    }
  }

  private record End(long number, Run run, String how) {}

  final String id;
  private final Cell cell;
  private final Journal journal;
  private final int port = Wire.freePort();
  private final String service;
  private HttpServer server;
  String label;
  int cpu;
  private long born;
  private long bootNanos;
  private long sequence;
  private long fence;
  private long until;
  private long lastEnd;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final List<End> ended = new ArrayList<>();
  private final Map<String, Integer> highestStopped = new HashMap<>();

  /** While true, nothing that is sent to this executor arrives, and nothing is answered. */
  private volatile boolean cut;

  private boolean up;
  private long darkAt = Long.MAX_VALUE / 2;

  Executor(Cell cell, String id, String service, String label, int cpu) {
    this.cell = cell;
    this.journal = cell.journal;
    this.id = id;
    this.service = service;
    this.label = label;
    this.cpu = cpu;
  }

  /** Starts a life of this executor, and announces it. */
  synchronized void boot() throws IOException {
    born = System.currentTimeMillis();
    bootNanos = System.nanoTime();
    sequence = 0;
    fence = 0;
    until = 0;
    lastEnd = 0;
    running.clear();
    ended.clear();
    highestStopped.clear();
    server = Wire.serve(port, this::handle);
    up = true;
    journal.line("executor %s boots, label %s, cpu %d, born %d", id, label, cpu, born);
    announce();
  }

  /** Writes the entry of this executor to the store, with the next sequence number. */
  synchronized void announce() {
    if (!up) {
      boolean silent = journal.now() - darkAt >= 3 * Cell.HEARTBEAT_MILLIS;
      if (silent && sequence > 0) {
        sequence = 0;
        cell.store.put(Names.SERVERS, id, null);
        journal.line("the entry of executor %s is removed", id);
      }
      return;
    }
    ObjectNode entry =
        Wire.object()
            .put("service", service)
            .put("address", "127.0.0.1:" + port)
            .put("zone", "z1")
            .put("version", "v1")
            .put("slots", 8)
            .put("state", "ready")
            .put("cold_left_ms", 0)
            .put("clock_ms", clock())
            .put("seq", ++sequence)
            .put("born", born);
    entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 65_536).put("gpu", 0);
    entry.putArray("labels").add(label).add("rack-1");
    cell.store.put(Names.SERVERS, id, entry);
  }

  /** Ends the process at once: all that runs here is over, and connections are reset. */
  void crash() {
    HttpServer old;
    synchronized (this) {
      up = false;
      for (Run run : running.values()) {
        run.endedAt = journal.now();
        run.how = "crash";
        journal.line("executor %s crashes under %s run %d", id, run.task, run.number);
      }
      running.clear();
      journal.line("executor %s crashes", id);
      old = server;
      notifyAll();
    }
    old.stop(0);
  }

  /** Loses power for good: nothing is answered any more, and connections stay open. */
  synchronized void goDark() {
    up = false;
    cut = true;
    darkAt = journal.now();
    for (Run run : running.values()) {
      run.endedAt = journal.now();
      run.how = "crash";
    }
    running.clear();
    journal.line("executor %s loses power", id);
    notifyAll();
  }

  void cut(boolean value) {
    cut = value;
    journal.line("executor %s is %s", id, value ? "cut off" : "reachable again");
  }

  synchronized boolean isUp() {
    return up;
  }

  /** Returns the tasks that run now. */
  synchronized List<Run> runs() {
    advance();
    return List.copyOf(running.values());
  }

  private long clock() {
    return (System.nanoTime() - bootNanos) / 1_000_000;
  }

  private long advancedAt;

  /** Lets tasks work, end, stop and lapse until now. Called at least every 10 ms by the cell. */
  synchronized void advance() {
    long now = journal.now();
    long passed = Math.max(0, now - advancedAt);
    advancedAt = now;
    if (!up) {
      return;
    }
    boolean lapsed = clock() > until;
    for (Run run : List.copyOf(running.values())) {
      run.doneMillis += passed * run.percent / 100.0;
      if (lapsed) {
        end(run, "lapsed", now);
      } else if (now >= run.stopAt) {
        end(run, "stopped", now);
      } else if (!run.lasts && run.doneMillis >= run.workMillis) {
        end(run, "done", now);
      }
    }
  }

  private void end(Run run, String how, long now) {
    running.remove(run.task);
    run.endedAt = now;
    run.how = how;
    highestStopped.merge(run.task, run.number, Math::max);
    ended.add(new End(++lastEnd, run, how));
    journal.line("executor %s: %s run %d ends %s", id, run.task, run.number, how);
    notifyAll();
  }

  private Wire.Answer handle(HttpExchange request, byte[] bytes) throws Exception {
    if (cut) {
      while (cut) {
        Thread.sleep(5);
      }
      return null;
    }
    if (!id.equals(request.getRequestHeaders().getFirst(Names.INSTANCE))) {
      return Wire.Answer.json(421, Wire.object());
    }
    JsonNode body = Wire.read(bytes);
    String path = request.getRequestURI().getPath();
    Wire.Answer answer;
    if (path.equals(Names.START)) {
      answer = start(body);
    } else if (path.equals(Names.STOP)) {
      answer = stop(body);
    } else if (path.equals(Names.HOLD)) {
      answer = hold(body);
    } else {
      answer = path.endsWith("/pace") ? pace(body) : new Wire.Answer(404, new byte[0]);
    }
    while (cut) {
      Thread.sleep(5);
      if (!cut) {
        return null;
      }
    }
    return answer;
  }

  private Wire.Answer refusal(String reason) {
    return Wire.Answer.json(409, Wire.object().put("clock_ms", clock()).put("reason", reason));
  }

  private Wire.Answer done() {
    return Wire.Answer.json(200, Wire.object().put("clock_ms", clock()).put("born", born));
  }

  private boolean isFenced(JsonNode body) {
    long token = body.path(Names.TOKEN).asLong(0);
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private void hold(long wanted) {
    until = Math.max(until, Math.min(wanted, clock() + cell.maxHoldMillis));
  }

  private synchronized Wire.Answer start(JsonNode body) {
    if (!up) {
      return null;
    }
    advance();
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    if (isFenced(body)) {
      journal.line("executor %s refuses %s run %d: fence", id, task, number);
      return refusal("fence");
    }
    long wanted = body.path(Names.UNTIL).asLong();
    Run same = running.get(task);
    if (same != null && same.number == number) {
      hold(wanted);
      return done();
    }
    if (wanted <= clock()) {
      journal.line("executor %s refuses %s run %d: late", id, task, number);
      return refusal("late");
    }
    hold(wanted);
    if (cell.advice.isPresent() && !cell.advice.get().permits(body.path("ticket").asText(), task, id)) {
      journal.line("executor %s refuses %s run %d: ticket", id, task, number);
      return refusal("ticket");
    }
    if (same != null || highestStopped.getOrDefault(task, 0) >= number) {
      journal.line("executor %s refuses %s run %d: old", id, task, number);
      return refusal("old");
    }
    Run run = new Run(task, number, body.path("spec").asText(), journal.now());
    running.put(task, run);
    cell.started(this, run);
    journal.line("executor %s starts %s run %d, until %d at %d", id, task, number, wanted, clock());
    return done();
  }

  private synchronized Wire.Answer stop(JsonNode body) {
    if (!up) {
      return null;
    }
    advance();
    if (isFenced(body)) {
      return refusal("fence");
    }
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    Run run = running.get(task);
    journal.line("executor %s is told to stop %s run %d", id, task, number);
    if (run != null && run.number == number) {
      run.stopAt = Math.min(run.stopAt, journal.now() + 50);
    } else {
      highestStopped.merge(task, number, Math::max);
    }
    return done();
  }

  private synchronized Wire.Answer pace(JsonNode body) {
    if (!up) {
      return null;
    }
    advance();
    if (isFenced(body)) {
      return refusal("fence");
    }
    Run run = running.get(body.path("task").asText());
    if (run != null && run.number == body.path("run").asInt()) {
      run.percent = body.path("percent").asInt();
      journal.line("executor %s: %s works at %d %%", id, run.task, run.percent);
    }
    return done();
  }

  private synchronized Wire.Answer hold(JsonNode body) throws InterruptedException {
    if (!up) {
      return null;
    }
    advance();
    if (isFenced(body)) {
      return refusal("fence");
    }
    if (body.has(Names.UNTIL)) {
      hold(body.path(Names.UNTIL).asLong());
    }
    long acknowledged = body.path(Names.CURSOR).asLong(0);
    ended.removeIf(e -> e.number <= acknowledged);
    long life = born;
    long limit = journal.now() + body.path("wait_ms").asLong(0);
    while (up && ended.isEmpty() && journal.now() < limit) {
      wait(Math.max(1, limit - journal.now()));
      advance();
    }
    if (!up || born != life) {
      return null;
    }
    ObjectNode answer = Wire.object().put("clock_ms", clock()).put("born", born);
    ArrayNode rows = answer.putArray("running");
    for (Run run : running.values()) {
      int percent = run.lasts ? 100 : (int) Math.min(99, 100 * run.doneMillis / run.workMillis);
      rows.addArray().add(run.task).add(run.number).add("").add(percent).add(cell.usage(this, run));
    }
    ArrayNode ends = answer.putArray("ended");
    ended.stream()
        .limit(500)
        .forEach(
            e -> ends.addArray().add(e.number).add(e.run.task).add(e.run.number).add(e.how).add(""));
    return Wire.Answer.json(200, answer);
  }
}
