package io.cactusspring.standins;

import io.cactusspring.standins.executor.ExecutorOptions;
import io.cactusspring.standins.executor.ExecutorStandIn;
import io.cactusspring.standins.hosts.HostListStandIn;
import io.cactusspring.standins.hosts.Resources;
import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.StandInException;
import io.cactusspring.standins.load.LoadComparison;
import io.cactusspring.standins.load.LoadOptions;
import io.cactusspring.standins.log.LogStandIn;
import io.cactusspring.standins.worker.WorkerStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Runs one stand-in, or the load client, as a separate process.
 *
 * <pre>{@code
 * StandIns log --listen 127.0.0.1:7000 --retain 100000
 * StandIns worker --listen 127.0.0.1:8001 --name w1 --cpu 64000 --memory 262144
 * }</pre>
 *
 * @since 0.1
 */
public final class StandIns {
  private static final int EVENT_LOOPS = 2;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private StandIns() {}

  /** Runs the subcommand named by the arguments; exits with 1 on failure and 2 on wrong usage. */
  public static void main(String[] args) {
    var parser = CommandLine.parser();
    try {
      run(parser.parseArgs(args));
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(EXIT_USAGE);
    } catch (StandInException | IllegalArgumentException e) {
      System.err.println("standin: " + e.getMessage());
      System.exit(EXIT_FAILED);
    }
  }

  private static void run(Namespace options) throws StandInException {
    Vertx vertx = vertx();
    switch (options.getString("command")) {
      case "log" -> runLog(vertx, options);
      case "hosts" -> runHosts(vertx, options);
      case "worker" -> runWorkers(vertx, options);
      case "executor" -> runExecutors(vertx, options);
      case "load" -> runLoad(vertx, options);
      default -> throw new IllegalArgumentException("unknown command " + options.get("command"));
    }
  }

  private static void runLog(Vertx vertx, Namespace options) throws StandInException {
    ListenAddress address = address(options);
    int port = new LogStandIn(vertx, options.getInt("retain")).listen(address);
    printReady(address, port, 1);
  }

  private static void runHosts(Vertx vertx, Namespace options) throws StandInException {
    ListenAddress address = address(options);
    Path file = Path.of(options.getString("file"));
    int port = HostListStandIn.fromFile(vertx, file, options.getLong("lag_millis")).listen(address);
    printReady(address, port, 1);
  }

  private static void runWorkers(Vertx vertx, Namespace options) throws StandInException {
    ListenAddress address = address(options);
    int count = options.getInt("count");
    Resources total =
        new Resources(
            options.getLong("cpu"), options.getLong("memory"), options.getInt("accelerators"));
    var workers =
        new WorkerStandIn.WorkerOptions(
            count, total, options.getLong("usage_lag_millis"), options.getLong("seed"));
    int port = new WorkerStandIn(vertx, workers).listen(address);
    printReady(address, port, count);
  }

  private static void runExecutors(Vertx vertx, Namespace options) throws StandInException {
    ListenAddress address = address(options);
    ExecutorOptions executors =
        new ExecutorOptions(
            options.getString("name"),
            options.getInt("count"),
            options.getInt("slots"),
            options.getInt("connections"),
            options.getDouble("service_millis"),
            options.getLong("seed"));
    int port = new ExecutorStandIn(vertx, executors).listen(address);
    printReady(address, port, executors.count());
  }

  private static void runLoad(Vertx vertx, Namespace options) throws StandInException {
    LoadOptions load =
        new LoadOptions(
            options.getString("direct"),
            options.getString("entry"),
            options.getString("key"),
            options.getInt("requests"),
            options.getInt("concurrency"));
    System.out.println(LoadComparison.run(vertx, load).table());
    var unused = vertx.close();
  }

  private static ListenAddress address(Namespace options) {
    return ListenAddress.parse(options.getString("listen"));
  }

  private static void printReady(ListenAddress address, int port, int count) {
    System.out.println("listening on " + address.host() + ":" + port + " count " + count);
  }

  private static Vertx vertx() {
    FileSystemOptions files =
        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false);
    return Vertx.vertx(
        new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS).setFileSystemOptions(files));
  }
}
