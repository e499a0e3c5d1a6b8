package review2;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** A process of the system, started with the command of the deploy file. */
final class Host {
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();

  final String name;
  final int front = Wire.freePort();
  private final int ready = Wire.freePort();
  private final int ports;
  private final Cell cell;
  private Process process;
  private int starts;

  Host(Cell cell, String name) {
    this.cell = cell;
    this.name = name;
    ports = Wire.freePort();
  }

  void start() throws IOException {
    Path settings = cell.temporary.resolve(name + ".yaml");
    Files.writeString(settings, settings());
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(Path.of("").toAbsolutePath().toFile());
    builder.environment().put("CACTUSSPRING_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(cell.temporary.resolve(name + "-" + ++starts + ".log").toFile());
    process = builder.start();
    cell.journal.line("host %s starts", name);
  }

  /** Returns the command of the only role in the deploy file. */
  private static List<String> command() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(l -> l.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" +"));
  }

  private String settings() {
    return """
        node: "%s"
        role: "entry"
        class: "edge"
        serves:
          - "edge"
        ip: "127.0.0.1"
        zone: "z1"
        region: "r1"
        zones:
          z1: "r1"
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
          max_fds: 4100
        heartbeat_ms: 1500
        bounds:
          stable_window_ms: 3000
          ack_ms: 4000
          drain_ms: 2000
          grace_s: 6
          config_apply_ms: 2000
          strict_revoke: true
          revoke_ms: 5000
          quota_overage: 0.1
          max_hold_ms: %d
          stop_ms: 400
          gang_timeout_ms: 3000
          cancel_ms: 3000
          visible_ms: 3000
          finish_s: 14
          pace_ms: 100
        orders: "call"
        advice: "127.0.0.1:%d"
        platform:
          address: "%s"
          form: "log"
          parts: 16
          record_bytes: 262144
          request_bytes: 2097152
        """
        .formatted(
            name,
            front,
            ready,
            ports,
            ports + 15,
            cell.maxHoldMillis,
            cell.advice.map(a -> a.port).orElse(cell.unusedPort),
            cell.store.address());
  }

  void kill() throws InterruptedException {
    cell.journal.line("host %s is killed", name);
    process.destroyForcibly().waitFor();
  }

  void terminate() {
    cell.journal.line("host %s gets SIGTERM", name);
    process.destroy();
  }

  /** Sends a signal to the process, such as STOP or CONT. */
  void signal(String signal) throws Exception {
    cell.journal.line("host %s gets SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void end() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  boolean isReady() {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ready + "/cactusspring/readiness"))
              .timeout(Duration.ofMillis(900))
              .build();
      return CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException | InterruptedException e) {
      return false;
    }
  }

  /** Returns whether this process has claimed the executors last, by its own log. */
  String log() throws IOException {
    return Files.readString(cell.temporary.resolve(name + "-" + starts + ".log"));
  }

  /** An answer to a client; status 0 if there was none. */
  record Reply(int status, String body) {}

  Reply call(String method, String path, String key, String body, long deadlineMillis) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + front + path))
            .timeout(Duration.ofMillis(deadlineMillis))
            .header("Deadline-Ms", String.valueOf(deadlineMillis))
            .header("Content-Type", "application/json")
            .header("Authorization", "Token " + key)
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    try {
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      cell.journal.line(
          "%s %s at %s -> %d %s", method, path, name, response.statusCode(), response.body());
      return new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      cell.journal.line("%s %s at %s -> no answer: %s", method, path, name, e);
      return new Reply(0, "");
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
