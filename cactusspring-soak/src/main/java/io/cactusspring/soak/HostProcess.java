package io.cactusspring.soak;

import io.cactusspring.platform.standin.SettingsFile;
import io.vertx.core.Vertx;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** An entry host as a process of its own, which can be signalled and started again. */
final class HostProcess {
  /** Until a JVM handles SIGHUP itself, the signal ends it. */
  private static final long STARTING_NANOS = 4_000_000_000L;

  private final Vertx vertx;
  private final Recorder recorder;
  private final SettingsFile settings;
  private final List<String> command;
  private final Path root;
  private final Path folder;
  private volatile Process process;
  private long startedNanos;
  private volatile boolean endExpected;
  private volatile boolean closed;
  private boolean stopping;

  /**
   * Creates a host that is not started yet.
   *
   * @param command command that starts the process in the directory {@code root}
   * @param folder directory for the settings and the log
   */
  HostProcess(
      Vertx vertx,
      Recorder recorder,
      SettingsFile settings,
      List<String> command,
      Path root,
      Path folder) {
    this.vertx = vertx;
    this.recorder = recorder;
    this.settings = settings;
    this.command = command;
    this.root = root;
    this.folder = folder;
  }

  String name() {
    return settings.host();
  }

  String callerAddress() {
    return "127.0.0.1:" + settings.callerPort();
  }

  String readinessAddress() {
    return "127.0.0.1:" + settings.readinessPort();
  }

  /** Starts the process unless it is running or was closed. */
  void start() {
    if (isAlive() || closed) {
      return;
    }
    try {
      Path file = folder.resolve(name() + ".yaml").toAbsolutePath();
      settings.write(file);
      File log = folder.resolve(name() + ".log").toFile();
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      builder.environment().put(SettingsFile.VARIABLE, file.toString());
      Process started = builder.start();
      startedNanos = System.nanoTime();
      recorder.record(at -> new Observation.HostStarted(at, name()));
      process = started;
      Files.writeString(folder.resolve(name() + ".pid"), started.pid() + "\n");
      endExpected = false;
      stopping = false;
      var unused =
          started.onExit().thenAccept(p -> vertx.runOnContext(v -> ended(started, p.exitValue())));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void ended(Process ended, int status) {
    boolean expected = endExpected || ended != process;
    recorder.record(at -> new Observation.HostEnded(at, name(), status, expected));
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Sends SIGKILL. */
  void kill() {
    endExpected = true;
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Kills the process for good; called from any thread. */
  void close() {
    closed = true;
    kill();
  }

  /** Sends SIGTERM, and SIGKILL once the grace time has passed. */
  void stop() {
    if (!isAlive()) {
      return;
    }
    endExpected = true;
    stopping = true;
    recorder.record(at -> new Observation.PlannedStop(at, name()));
    Process stopping = process;
    stopping.destroy();
    vertx.setTimer(settings.graceSeconds() * 1_000, id -> stopping.destroyForcibly());
  }

  /** Returns whether the process has been asked to end and was not started again. */
  boolean isStopping() {
    return stopping;
  }

  /** Sends SIGHUP, on which the host reads its settings again, unless it is starting. */
  void reload() {
    if (System.nanoTime() - startedNanos > STARTING_NANOS) {
      signal("-HUP");
    }
  }

  void pause() {
    signal("-STOP");
  }

  void resume() {
    signal("-CONT");
  }

  private void signal(String signal) {
    if (!isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).inheritIO().start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
