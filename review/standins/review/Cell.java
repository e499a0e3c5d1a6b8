package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A small deployment on loopback: a store, executors, and three machines of the system. */
final class Cell implements AutoCloseable {
  static final String SERVICE = "svc-a";
  static final String HOST = "front.example";
  static final String KEY = "key-one";
  private static final int PORTS = 6;
  private static final int MIN_PORT = 12_000;
  private static final int MAX_PORT = 28_000;

  /** An answer to a client; a status of 0 stands for none. */
  record Answer(int status, String body, String retryAfter) {}

  final Record record;
  final Runs runs = new Runs();
  final Store store;
  final List<Executor> executors = new ArrayList<>();
  final List<Host> hosts = new ArrayList<>();
  private final Path folder;
  private final Work work;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private long sequence;

  /** Runs a script; returns 2 if it could not run. */
  static int statusOf(Callable<Integer> script) {
    try {
      return script.call();
    } catch (Exception | Error e) {
      e.printStackTrace();
      return 2;
    }
  }

  Cell(Path recordFile, Work work) throws IOException {
    this.work = work;
    record = new Record(recordFile);
    folder = Files.createTempDirectory("review");
    store = new Store(record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::closeQuietly));
  }

  /** Adds an executor and announces it. */
  Executor executor(String id, long cpu, int number) throws IOException {
    Executor executor =
        new Executor(id, cpu, 262_144, "r" + number / 8, "z" + (1 + number % 3), record, runs, work);
    synchronized (executors) {
      executors.add(executor);
    }
    announce(executor);
    return executor;
  }

  synchronized void announce(Executor executor) throws IOException {
    store.put(Wire.SERVERS, executor.id, executor.entry(SERVICE, ++sequence));
    record.line("%s announces itself", executor.id);
  }

  /** Removes the entry of an executor that is gone. */
  synchronized void expire(Executor executor) throws IOException {
    store.put(Wire.SERVERS, executor.id, null);
    record.line("the entry of %s expires", executor.id);
  }

  /** Writes the first config: one service, and one queue for each of the given names. */
  void configure(int maxAttempts, String... queues) throws IOException {
    ObjectNode config = Web.object().put("version", 3);
    ArrayNode routes = config.putArray("routes");
    for (int i = 0; i < queues.length; i++) {
      routes
          .addObject()
          .put("name", queues[i])
          .put("host", HOST)
          .put("path_prefix", "/" + queues[i] + "/")
          .put("service", SERVICE)
          .put("priority", i)
          .put("max_attempts", maxAttempts)
          .put("stretch", 2.2)
          .put("target_latency_ms", 1_200);
    }
    config.putArray("services").addObject().put("name", SERVICE);
    ObjectNode tenant =
        config.putArray("tenants").addObject().put("name", "tenant-one").put("weight", 100);
    tenant.putArray("api_keys").add(KEY);
    store.put(Wire.OPERATOR, "config", config);
  }

  /** Starts the machines and waits until all are ready. */
  void startHosts(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      hosts.add(
          new Host("edge-" + i, "z" + (1 + i), freePorts(), folder, store.address(), "", record));
    }
    for (Host host : hosts) {
      host.start();
    }
    long until = record.millis() + 20_000;
    while (!hosts.stream().allMatch(this::isReady)) {
      if (record.millis() > until) {
        throw new IllegalStateException("the machines are not ready within 20 s");
      }
      Thread.sleep(100);
    }
    record.tell("%d machines are ready", count);
  }

  private boolean isReady(Host host) {
    return send("GET", "127.0.0.1:" + host.ready, "/cactusspring/readiness", null, 900).status
        == 200;
  }

  /** Returns the first of some free ports below the range from which clients get theirs. */
  private static int freePorts() {
    while (true) {
      int first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      if (IntStream.range(first, first + PORTS).allMatch(Cell::isFree)) {
        return first;
      }
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket probe = new ServerSocket()) {
      probe.bind(new InetSocketAddress("127.0.0.1", port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private Answer send(String method, String address, String path, String body, long millis) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis(millis + 200))
              .header("Authorization", "Token " + KEY)
              .header("Deadline-Ms", Long.toString(millis));
      if (body != null) {
        request.header("Content-Type", "application/json");
      }
      request.header("Host", HOST);
      request.method(
          method,
          body == null
              ? HttpRequest.BodyPublishers.noBody()
              : HttpRequest.BodyPublishers.ofString(body));
      HttpResponse<String> answer =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(
          answer.statusCode(), answer.body(), answer.headers().firstValue("Retry-After").orElse(""));
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e), "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted", "");
    }
  }

  /** Sends one call of a client to one machine. */
  Answer call(Host host, String method, String queue, String id, String body) {
    long sent = record.millis();
    Answer answer = send(method, "127.0.0.1:" + host.front, "/" + queue + "/" + id, body, 3_000);
    record.line(
        "%s %s/%s at %s, sent %d: %d %s",
        method, queue, id, host.name, sent, answer.status, answer.body);
    return answer;
  }

  /**
   * Hands a job in, as a client does: after no answer, a 502 or a 504 the request comes again at
   * another machine.
   *
   * @return the status of the last answer
   */
  int submit(String queue, String id, String body) {
    int status = 0;
    for (int attempt = 0; attempt < 5; attempt++) {
      Host host = hosts.get(Math.floorMod(id.hashCode() + attempt, hosts.size()));
      status = call(host, "POST", queue, id, body).status;
      if (status != 0 && status != 502 && status != 504) {
        break;
      }
      pause(200);
    }
    return status;
  }

  /** Asks for the state of a job, at one machine after the other until one answers. */
  String state(String queue, String id) {
    for (Host host : hosts) {
      Answer answer = call(host, "GET", queue, id, null);
      if (answer.status == 200) {
        try {
          return Web.read(answer.body.getBytes()).path("state").asText();
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
      if (answer.status == 410) {
        return "410";
      }
    }
    return "no answer";
  }

  /**
   * Asks for jobs, given as queue/id, and returns those that break the rule LOST: they are not
   * completed, and have nothing running for 3 s. Tells how many of them never began.
   */
  List<String> lost(List<String> jobs) {
    List<String> open = jobs.stream().filter(this::isOpen).toList();
    long from = record.millis();
    pause(3_100);
    List<String> lost =
        open.stream()
            .filter(j -> runs.isIdleSince(j.substring(j.indexOf('/') + 1), from))
            .filter(this::isOpen)
            .toList();
    long never =
        lost.stream().filter(j -> runs.begunOf(j.substring(j.indexOf('/') + 1)) == 0).count();
    record.tell(
        "14 s after the traffic %d of %d accepted jobs are not completed; %d of them have nothing"
            + " running for 3 s, %d never began; tasks that run on all executors: %d",
        open.size(), jobs.size(), lost.size(), never, runs.running());
    return lost;
  }

  private boolean isOpen(String job) {
    int slash = job.indexOf('/');
    return !state(job.substring(0, slash), job.substring(slash + 1)).equals("completed");
  }

  /** Returns the machine that has taken over last, by its log. */
  Host owner() throws IOException {
    Host last = null;
    Instant at = Instant.MIN;
    for (Host host : hosts) {
      for (String line : host.lines("\"name\":\"CLAIMED\"")) {
        Instant time = Instant.parse(Web.read(line.getBytes()).path("time").asText());
        if (time.isAfter(at)) {
          at = time;
          last = host;
        }
      }
    }
    return last;
  }

  /** Returns how many lines of all logs hold a text. */
  int logged(String text) throws IOException {
    int lines = 0;
    for (Host host : hosts) {
      lines += host.lines(text).size();
    }
    return lines;
  }

  void pause(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Copies the logs of the machines beside the record. */
  void keepLogs(Path target) throws IOException {
    Files.createDirectories(target);
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.copy(
            file,
            target.resolve(file.getFileName()),
            StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }

  private void closeQuietly() {
    for (Host host : hosts) {
      try {
        host.close();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws IOException {
    closeQuietly();
    synchronized (executors) {
      executors.forEach(Executor::close);
    }
    store.close();
    record.close();
    if (Files.exists(folder)) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }
}
