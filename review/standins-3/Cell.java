package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The project's processes of a small deployment, started with the command of the deploy file. */
final class Cell implements AutoCloseable {
  static final String HOST = "127.0.0.1";
  static final String KEY = "k1";

  private static final int GRACE_SECONDS = 6;

  /** One process. */
  final class Node {
    final String name;
    final int front;
    final int ready;
    final int first;
    private Process process;

    Node(String name) throws IOException {
      this.name = name;
      front = freePorts(1);
      ready = freePorts(1);
      first = freePorts(2);
      Files.writeString(folder.resolve(name + ".yaml"), settings(this, store.open(name)));
    }

    void start() throws IOException {
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      builder
          .environment()
          .put("CACTUSSPRING_NODE_FILE", folder.resolve(name + ".yaml").toString());
      process = builder.start();
      recorder.line("process %s is started", name);
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    int exitValue() {
      return process.exitValue();
    }

    void kill() throws InterruptedException {
      recorder.say("process %s is killed", name);
      process.destroyForcibly();
      process.waitFor();
    }

    /** Sends SIGTERM, and SIGKILL after the grace time. */
    void terminate() throws InterruptedException {
      recorder.say("process %s gets SIGTERM", name);
      process.destroy();
      if (!process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
        process.waitFor();
      }
      recorder.line("process %s has ended with %d", name, process.exitValue());
    }

    /** Sends a signal by its name, such as STOP or CONT. */
    void signal(String signal) throws IOException, InterruptedException {
      recorder.say("process %s gets SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }
  }

  private final Recorder recorder;
  private final Store store;
  private final Path folder;
  private final List<String> command;
  private final long maxHoldMillis;
  private final long stopMillis;
  private final List<Node> nodes = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();

  Cell(
      Recorder recorder,
      Store store,
      Path folder,
      int size,
      long maxHoldMillis,
      long stopMillis)
      throws IOException {
    this.recorder = recorder;
    this.store = store;
    this.folder = folder;
    this.maxHoldMillis = maxHoldMillis;
    this.stopMillis = stopMillis;
    command = command();
    for (int i = 0; i < size; i++) {
      nodes.add(new Node("edge-" + i));
    }
  }

  /** Returns the command of the only role of the deploy file. */
  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(text.split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no run command");
  }

  private static int freePorts(int count) throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
        int port = first.getLocalPort();
        if (count == 1) {
          return port;
        }
        try (ServerSocket second = new ServerSocket(port + 1, 1, InetAddress.getByName(HOST))) {
          return port;
        }
      } catch (IOException e) {
        // The next port is taken.
      }
    }
    throw new IOException("no free ports");
  }

  private String settings(Node node, String storeAddress) {
    return """
        node: "%s"
        role: "entry"
        class: "edge"
        serves:
          - "edge"
        ip: "127.0.0.1"
        zone: "zone-a"
        region: "region"
        zones:
          zone-a: "region"
        listen:
          front: "127.0.0.1:%d"
          ready: "127.0.0.1:%d"
        port_range:
          - %d
          - %d
        limits:
          cpu_share: 0.75
          cores: 1
          memory_mb: 430
        heartbeat_ms: 1500
        bounds:
          stable_window_ms: 3000
          ack_ms: 4000
          drain_ms: 2000
          grace_s: %d
          config_apply_ms: 2000
          revoke_ms: 5000
          strict_revoke: true
          max_hold_ms: %d
          stop_ms: %d
          gang_timeout_ms: 3000
          cancel_ms: 3000
          visible_ms: 3000
        orders: "call"
        advice: "127.0.0.1:9"
        platform:
          address: "%s"
          form: "log"
          writes_per_s: 800
          reads_per_s: 2000
          parts: 16
          record_bytes: 262144
          request_bytes: 2097152
        """
        .formatted(
            node.name,
            node.front,
            node.ready,
            node.first,
            node.first + 1,
            GRACE_SECONDS,
            maxHoldMillis,
            stopMillis,
            storeAddress);
  }

  List<Node> nodes() {
    return nodes;
  }

  Node node(String name) {
    return nodes.stream().filter(n -> n.name.equals(name)).findFirst().orElseThrow();
  }

  /** Returns the process that last wrote to the store under a condition. */
  Node leader() {
    return node(store.lastConditionalWriter());
  }

  /** A queue of the config. */
  record Queue(String name, String prefix, String service, int priority, int maxAttempts) {}

  /** Writes a version of the config, with one tenant. */
  void configure(int version, String service, List<Queue> queues) throws IOException {
    ObjectNode body = Store.JSON.createObjectNode().put("version", version);
    ArrayNode routes = body.putArray("routes");
    for (Queue queue : queues) {
      routes
          .addObject()
          .put("name", queue.name)
          .put("host", HOST)
          .put("path_prefix", queue.prefix)
          .put("kind", "non_idempotent")
          .put("timeout_ms", 3000)
          .put("target_latency_ms", 2500)
          .put("priority", queue.priority)
          .put("service", queue.service)
          .put("max_attempts", queue.maxAttempts)
          .put("stretch", 2.2)
          .put("public", false);
    }
    body.putArray("services")
        .addObject()
        .put("name", service)
        .put("health_path", "/health")
        .put("enforces_capacity", false)
        .put("standby", false);
    body.putObject("limits");
    ObjectNode tenant =
        body.putArray("tenants").addObject().put("name", "t1").put("priority", 1).put("weight", 1000);
    tenant.putArray("api_keys").add(KEY);
    tenant.putObject("max_count").put("cpu", 0).put("mem_mb", 0).put("gpu", 0);
    store.put(Names.of("operator"), "config", Store.JSON.writeValueAsBytes(body));
  }

  /** Starts all processes and waits until each of them is ready. */
  void start() throws Exception {
    for (Node node : nodes) {
      node.start();
    }
    for (Node node : nodes) {
      awaitReady(node);
    }
  }

  void awaitReady(Node node) throws Exception {
    long end = recorder.millis() + 20_000;
    while (!isReady(node)) {
      if (recorder.millis() > end) {
        throw new IOException(node.name + " is not ready");
      }
      Thread.sleep(100);
    }
  }

  private boolean isReady(Node node) throws InterruptedException {
    try {
      return client
              .send(
                  HttpRequest.newBuilder(
                          URI.create("http://127.0.0.1:" + node.ready + "/cactusspring/readiness"))
                      .timeout(Duration.ofMillis(900))
                      .build(),
                  HttpResponse.BodyHandlers.discarding())
              .statusCode()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * An answer of a process.
   *
   * @param status 0 if there was no answer
   */
  record Answer(int status, String body) {
    String state() {
      int at = body.indexOf("\"state\":\"");
      return at < 0 ? "" : body.substring(at + 9, body.indexOf('"', at + 9));
    }
  }

  /** Sends a client's call and records it with its answer. */
  Answer call(Node node, String method, String path, byte[] body) throws InterruptedException {
    long sentAt = recorder.millis();
    Answer answer;
    try {
      HttpResponse<String> response =
          client.send(
              HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.front + path))
                  .timeout(Duration.ofMillis(3_000))
                  .header("Authorization", "Token " + KEY)
                  .header("Deadline-Ms", "3000")
                  .header("Content-Type", "application/json")
                  .method(
                      method,
                      body == null
                          ? HttpRequest.BodyPublishers.noBody()
                          : HttpRequest.BodyPublishers.ofByteArray(body))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      answer = new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      answer = new Answer(0, String.valueOf(e));
    }
    recorder.line(
        "%s %s at %s, sent at %.3f: %d %s",
        method,
        path,
        node.name,
        sentAt / 1_000.0,
        answer.status,
        answer.body);
    return answer;
  }

  /** Hands a job in as a client does, with up to four retries at other processes. */
  Answer submit(Queue queue, Work.Job job, int firstNode) throws Exception {
    Answer answer = new Answer(0, "");
    for (int attempt = 0; attempt < 5; attempt++) {
      Node node = nodes.get((firstNode + attempt) % nodes.size());
      answer = call(node, "POST", queue.prefix + job.id(), job.body());
      if (answer.status != 0 && answer.status != 502 && answer.status != 504) {
        return answer;
      }
      Thread.sleep(100);
    }
    return answer;
  }

  @Override
  public void close() {
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    for (Node node : nodes) {
      try {
        if (node.process != null) {
          node.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    client.shutdownNow();
  }

  static void delete(Path folder) throws IOException {
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    }
  }
}
