package io.cactusspring.daemon;

import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.SettingsException;
import io.cactusspring.daemon.settings.SettingsPrinter;
import io.cactusspring.daemon.settings.SettingsReader;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Entry point of the daemon.
 *
 * <pre>{@code
 * cactusspringd --settings /etc/cactusspring/riga-a-1.json
 * cactusspringd --check /etc/cactusspring/riga-a-1.json
 * }</pre>
 *
 * @since 0.1
 */
public final class Cactusspringd {
  private static final EventLog LOG = EventLog.of(Cactusspringd.class);
  private static final String VERSION = "0.1.0";
  private static final int BAD_INPUT = 2;
  private static final int CANNOT_START = 1;
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int BLOCKING_THREADS = 2;
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  private Cactusspringd() {}

  /**
   * Runs the daemon until SIGTERM or a drain request. Exits with status 2 for unusable arguments or
   * settings, and with status 1 if the daemon cannot start.
   */
  public static void main(String[] args) {
    int status = run(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  private static int run(String[] args) {
    ArgumentParser parser = parser();
    try {
      Namespace options = parser.parseArgs(args);
      String check = options.getString("check");
      return check == null ? start(options.getString("settings")) : check(check);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return BAD_INPUT;
    } catch (SettingsException e) {
      LOG.event(Event.SETTINGS_REFUSED, e.getMessage());
      System.err.println("cactusspringd: " + e.getMessage());
      return BAD_INPUT;
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("cactusspringd")
            .build()
            .defaultHelp(true)
            .version("cactusspringd " + VERSION)
            .description("Entry host of a cactusspring cell")
            .epilog("example: cactusspringd --settings /etc/cactusspring/riga-a-1.json");
    var mode = parser.addMutuallyExclusiveGroup().required(true);
    mode.addArgument("--settings")
        .metavar("FILE")
        .help("start the daemon with the settings in FILE");
    mode.addArgument("--check").metavar("FILE").help("check FILE, print all settings and exit");
    parser.addArgument("--version").action(Arguments.version()).help("print the version");
    return parser;
  }

  private static int check(String file) throws SettingsException {
    System.out.println(SettingsPrinter.print(SettingsReader.read(Path.of(file))));
    return 0;
  }

  private static int start(String file) throws SettingsException {
    DaemonSettings settings = SettingsReader.read(Path.of(file));
    Vertx vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(EVENT_LOOP_THREADS)
                .setWorkerPoolSize(BLOCKING_THREADS)
                .setInternalBlockingPoolSize(BLOCKING_THREADS));
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Daemon daemon = new Daemon(vertx, settings, registry);
    try {
      daemon.start().toCompletionStage().toCompletableFuture().get();
    } catch (ExecutionException e) {
      reportStartFailure(e.getCause());
      return CANNOT_START;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return CANNOT_START;
    }
    daemon.stopped().onComplete(stopped -> vertx.close());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, settings, vertx)));
    return 0;
  }

  private static void reportStartFailure(Throwable cause) {
    switch (cause) {
      case ListenException e -> {
        LOG.event(Event.CANNOT_LISTEN, e.address(), e.getMessage());
        System.err.println(
            "cactusspringd: cannot listen on " + e.address() + ": " + e.getMessage());
      }
      default -> LOG.failure(Event.INTERNAL_ERROR, cause, "start", cause.getMessage());
    }
  }

  private static void stop(Daemon daemon, DaemonSettings settings, Vertx vertx) {
    try {
      daemon
          .drain()
          .toCompletionStage()
          .toCompletableFuture()
          .get(settings.drainMillis() + CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.failure(Event.INTERNAL_ERROR, e, "shutdown", String.valueOf(e.getMessage()));
    }
  }
}
