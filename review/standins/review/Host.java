package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine of the system: the program of the deploy file, as a process of its own. */
final class Host {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

  final String name;
  final int front;
  final int ready;
  private final Path settings;
  private final Path log;
  private final Record record;
  private Process process;

  Host(String name, String zone, int firstPort, Path folder, String store, String advice, Record record)
      throws IOException {
    this.name = name;
    this.record = record;
    front = firstPort;
    ready = firstPort + 1;
    settings = folder.resolve(name + ".yaml");
    log = folder.resolve(name + ".log");
    Files.writeString(
        settings,
        """
        node: "%s"
        role: "entry"
        class: "edge"
        ip: "127.0.0.1"
        zone: "%s"
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
        orders: "call"
        advice: "%s"
        bounds:
          config_apply_ms: 2000
          revoke_ms: 5000
          grace_s: 6
          drain_ms: 2000
          max_hold_ms: 10000
          stop_ms: 400
          gang_timeout_ms: 3000
          cancel_ms: 3000
          visible_ms: 3000
          finish_s: 14
        platform:
          address: "%s"
          form: "log"
          writes_per_s: 600
          reads_per_s: 2000
          parts: 16
          append_ms: 3.0
          record_bytes: %d
          request_bytes: %d
          keep_s: 300
          min_ttl_ms: 1000
        """
            .formatted(
                name,
                zone,
                front,
                ready,
                firstPort + 2,
                firstPort + 5,
                advice,
                store,
                Store.RECORD_BYTES,
                Store.REQUEST_BYTES));
  }

  /** Starts the process in the repository's root with the command of the deploy file. */
  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml holds no run command");
    }
    ProcessBuilder builder =
        new ProcessBuilder(List.of(run.group(1).split(" ")))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.redirectInput(new File("/dev/null"));
    builder.environment().put("CACTUSSPRING_NODE_FILE", settings.toString());
    process = builder.start();
    record.line("%s starts, process %d", name, process.pid());
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void kill() {
    record.tell("%s is killed", name);
    process.destroyForcibly();
  }

  void signal(String signal) throws IOException, InterruptedException {
    record.tell("%s gets SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  void close() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  /** Returns the lines of the log that hold a text. */
  List<String> lines(String text) throws IOException {
    return Files.exists(log)
        ? Files.readAllLines(log).stream().filter(l -> l.contains(text)).toList()
        : List.of();
  }
}
