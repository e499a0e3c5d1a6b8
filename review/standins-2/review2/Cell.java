package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntBiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback: a store, executors, processes of the system and clients. */
final class Cell implements AutoCloseable {
  static final String KEY = "key-of-t1";
  private static final Pattern TERM = Pattern.compile("\"name\":\"CLAIMED\".*?\"term\":([0-9]+)");
  static final int HEARTBEAT_MILLIS = 1_500;

  /** Thrown if the case cannot run, as opposed to a rule that is broken. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CannotRun(String reason) {
      super(reason);
    }
  }

  /** A start that an executor has begun. */
  record Start(Executor executor, Executor.Run run) {}

  final Journal journal;
  final Store store = new Store();
  final Path temporary;
  final int unusedPort = Wire.freePort();
  final int maxHoldMillis;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final List<Host> hosts = new ArrayList<>();
  final List<Executor> executors = new CopyOnWriteArrayList<>();
  private final List<Start> starts = new ArrayList<>();
  private volatile boolean closed;

  /** The fifth figure of a row of running tasks. */
  volatile ToIntBiFunction<Executor, Executor.Run> usage = (e, r) -> 0;

  /** The advice service, if the queue asks for advice. */
  volatile Optional<Advice> advice = Optional.empty();

  Cell(Path folder, int maxHoldMillis) throws IOException {
    this.maxHoldMillis = maxHoldMillis;
    journal = new Journal(folder.resolve("record.txt"));
    temporary = Files.createTempDirectory("review-2-");
    store.start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> hosts.forEach(Host::end)));
    journal.line("trouble is %s", trouble ? "on" : "off");
  }

  int usage(Executor executor, Executor.Run run) {
    return usage.applyAsInt(executor, run);
  }

  synchronized void started(Executor executor, Executor.Run run) {
    starts.add(new Start(executor, run));
  }

  synchronized List<Start> starts() {
    return List.copyOf(starts);
  }

  /** Returns the starts of the tasks of a job. */
  List<Start> starts(String job) {
    return starts().stream().filter(s -> s.run().job().equals(job)).toList();
  }

  Executor executor(String id, String label, int cpu) throws IOException {
    Executor executor = new Executor(this, id, "svc", label, cpu);
    executors.add(executor);
    executor.boot();
    return executor;
  }

  /** Writes the config: one queue {@code q1} at {@code /q1/} and a tenant with a limit. */
  void configure(int version, int maxAttempts, int maxCpu) {
    ObjectNode config = Wire.object().put("version", version);
    ArrayNode routes = config.putArray("routes");
    routes
        .addObject()
        .put("name", "q1")
        .put("host", "127.0.0.1")
        .put("path_prefix", "/q1/")
        .put("kind", "non_idempotent")
        .put("timeout_ms", 3_000)
        .put("target_latency_ms", 1_000)
        .put("priority", 1)
        .put("service", "svc")
        .put("max_attempts", maxAttempts)
        .put("stretch", 2.0)
        .put("public", false);
    advice.ifPresent(a -> ((ObjectNode) routes.get(0)).set("advice", a.settings()));
    config.putArray("services").addObject().put("name", "svc").put("enforces_capacity", false);
    ObjectNode tenant = config.putArray("tenants").addObject().put("name", "t1").put("weight", 50);
    tenant.putArray("api_keys").add(KEY);
    tenant.putObject("max_count").put("cpu", maxCpu).put("mem_mb", 0).put("gpu", 0);
    config.putObject("limits");
    store.put(Names.OPERATOR, "config", config);
  }

  /** Starts processes of the system, and the clocks of the executors. */
  void startHosts(int count) throws Exception {
    Thread.ofPlatform().daemon().start(this::run);
    for (int i = 1; i <= count; i++) {
      Host host = new Host(this, "edge-z1-" + i);
      hosts.add(host);
      host.start();
    }
    await("all hosts are ready", 20_000, () -> hosts.stream().allMatch(Host::isReady));
    await("a host owns the executors", 10_000, () -> owner().isPresent());
  }

  private void run() {
    long announcedAt = journal.now();
    while (!closed) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        return;
      }
      executors.forEach(Executor::advance);
      if (journal.now() - announcedAt >= HEARTBEAT_MILLIS) {
        announcedAt = journal.now();
        executors.forEach(Executor::announce);
      }
    }
  }

  /** Returns the live host whose log shows the highest term. */
  Optional<Host> owner() {
    return hosts.stream()
        .filter(h -> h.isAlive() && term(h) > 0)
        .max(Comparator.comparingLong(Cell::term));
  }

  static long term(Host host) {
    try {
      Matcher claims = TERM.matcher(host.log());
      long term = 0;
      while (claims.find()) {
        term = Math.max(term, Long.parseLong(claims.group(1)));
      }
      return term;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns a live host that does not own the executors. */
  Host other(Host owner) throws CannotRun {
    return hosts.stream()
        .filter(h -> h != owner && h.isAlive())
        .findFirst()
        .orElseThrow(() -> new CannotRun("no other host is alive"));
  }

  void await(String what, long millis, BooleanSupplier condition) throws Exception {
    long limit = journal.now() + millis;
    while (!condition.getAsBoolean()) {
      if (journal.now() > limit) {
        throw new CannotRun("not in " + millis + " ms: " + what);
      }
      Thread.sleep(5);
    }
    journal.line("%s", what);
  }

  /** Submits a job of one step; a client tries again at another host while it is rejected. */
  void submit(String id, String spec, ObjectNode step) throws Exception {
    ObjectNode job = Wire.object().put("spec", spec);
    job.putArray("steps").add(step);
    String body = Wire.JSON.writeValueAsString(job);
    for (int i = 0; i < 5; i++) {
      Host host = hosts.get(i % hosts.size());
      if (host.isAlive() && host.call("POST", "/q1/" + id, KEY, body, 3_000).status() == 200) {
        return;
      }
      Thread.sleep(300);
    }
    throw new CannotRun("job " + id + " was not accepted");
  }

  /** Returns the state of a job, from the first host that tells it; empty if none does. */
  String state(String id) throws Exception {
    for (Host host : hosts) {
      if (host.isAlive()) {
        Host.Reply reply = host.call("GET", "/q1/" + id, KEY, null, 3_000);
        if (reply.status() == 200) {
          return Wire.read(reply.body().getBytes()).path("state").asText();
        }
      }
    }
    return "";
  }

  @Override
  public void close() throws IOException {
    closed = true;
    hosts.forEach(Host::end);
    String keep = System.getenv("KEEP_LOGS");
    if (keep == null) {
      try (Stream<Path> files = Files.walk(temporary)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    } else {
      System.out.println("logs in " + temporary);
    }
    journal.close();
  }

  /** A case: returns whether the rule held. */
  interface Play {
    boolean holds(Cell cell) throws Exception;
  }

  /** Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if it could not run. */
  static void main(String[] args, int maxHoldMillis, Play play) {
    int status = 2;
    try (Cell cell = new Cell(Path.of(args[0]), maxHoldMillis)) {
      Thread watchdog =
          Thread.ofPlatform()
              .daemon()
              .start(
                  () -> {
                    try {
                      Thread.sleep(110_000);
                      cell.journal.say("the case takes too long");
                      cell.hosts.forEach(Host::end);
                      Runtime.getRuntime().halt(2);
                    } catch (InterruptedException e) {
                      // The case has ended in time.
                    }
                  });
      try {
        boolean holds = play.holds(cell);
        cell.journal.say(holds ? "the rule held" : "the rule was broken");
        status = holds ? 0 : 1;
      } catch (Exception e) {
        cell.journal.say("the case could not run: %s", e);
      }
      watchdog.interrupt();
    } catch (IOException e) {
      System.out.println("the case could not run: " + e);
    }
    System.exit(status);
  }
}
