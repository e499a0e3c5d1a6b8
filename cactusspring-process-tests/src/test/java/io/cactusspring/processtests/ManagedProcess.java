package io.cactusspring.processtests;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process started by a test; {@link #close} kills it. */
final class ManagedProcess implements AutoCloseable {
  private static final long EXIT_SECONDS = 60;
  private static final int OUTPUT_TAIL_CHARS = 2_000;

  private final String name;
  private final Path output;
  private final Process process;

  private ManagedProcess(String name, Path output, Process process) {
    this.name = name;
    this.output = output;
    this.process = process;
  }

  /** Starts a command and redirects its output to a file in the directory. */
  static ManagedProcess start(String name, Path directory, List<String> command)
      throws IOException {
    Path output = directory.resolve(name + "-" + System.nanoTime() + ".out");
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    return new ManagedProcess(name, output, process);
  }

  String name() {
    return name;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  String output() throws IOException {
    String text = Files.readString(output);
    return text.substring(Math.max(0, text.length() - OUTPUT_TAIL_CHARS));
  }

  /** Sends SIGKILL and waits for the process to exit. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /**
   * Waits for the process to exit and returns its exit code.
   *
   * @throws AssertionError if the process is still running after 60 s
   */
  int awaitExit() throws InterruptedException {
    if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
      throw new AssertionError(name + " did not exit within " + EXIT_SECONDS + " s");
    }
    return process.exitValue();
  }

  void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  private void signal(String signal) throws IOException, InterruptedException {
    int exit = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    if (exit != 0) {
      throw new IOException("kill " + signal + " " + name + " exited with " + exit);
    }
  }
}
