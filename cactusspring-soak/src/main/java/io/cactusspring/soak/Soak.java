package io.cactusspring.soak;

import io.cactusspring.soak.Fault.Group;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command line of the fault soak. Exits with status 1 if a promise was broken. */
public final class Soak {
  private static final int BAD_INPUT = 2;
  private static final double MIN_MINUTES = 0.1;

  /** Logs each connection that a fault resets. */
  private static final Logger CONNECTIONS =
      Logger.getLogger("io.vertx.core.net.impl.ConnectionBase");

  private Soak() {}

  public static void main(String[] args) throws Exception {
    CONNECTIONS.setLevel(Level.OFF);
    ArgumentParser parser = parser();
    try {
      System.exit(run(parser.parseArgs(args)));
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(BAD_INPUT);
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("bin/soak")
            .build()
            .defaultHelp(true)
            .description("Runs entry hosts as processes under faults and load drawn from a seed.")
            .epilog("Example: bin/soak --seed 7 --minutes 2 --hosts 4 --faults process,store");
    parser
        .addArgument("--seed")
        .type(Long.class)
        .setDefault((long) new Random().nextInt(1_000_000))
        .help("seed of the faults and the load");
    parser.addArgument("--minutes").type(Double.class).setDefault(1.0).help("duration of the load");
    parser.addArgument("--hosts").type(Integer.class).setDefault(4).help("number of entry hosts");
    parser
        .addArgument("--faults")
        .setDefault("all")
        .help("all, none, or a list of process, store, link, executor and load");
    parser
        .addArgument("--check-evacuation")
        .action(Arguments.storeTrue())
        .help("treat starts in an evacuated zone as violations");
    parser
        .addArgument("--check-fairness")
        .action(Arguments.storeTrue())
        .help("treat it as a violation if a surge delays other organisations");
    parser
        .addArgument("--crash-loops")
        .action(Arguments.storeTrue())
        .help("let some tasks of two of three seeds crash the executors on which they start");
    parser
        .addArgument("--failures")
        .type(Integer.class)
        .setDefault(5)
        .help("failing runs of a thousand");
    parser
        .addArgument("--gangs")
        .type(Integer.class)
        .setDefault(0)
        .help("jobs with gangs a minute, most of which fail at times, beside the other jobs");
    parser
        .addArgument("--takeovers")
        .action(Arguments.storeTrue())
        .help("kill all hosts at times between the failures of two members of a gang");
    parser
        .addArgument("--restarts")
        .action(Arguments.storeTrue())
        .help(
            "start the executors of a zone again under their ids and cut them off soon afterwards,"
                + " one zone after the other; best without other faults of executors");
    parser
        .addArgument("--restart-series")
        .action(Arguments.storeTrue())
        .help(
            "stop hosts and crash executors in series that overlap, while the store is slow at"
                + " times, callers repeat requests late and jobs with many short tasks run");
    parser
        .addArgument("--earlier")
        .setDefault("")
        .help("directory of a build of an earlier version, which every second host runs");
    parser
        .addArgument("--keep")
        .action(Arguments.storeTrue())
        .help("keep plan and logs of a run without violations too");
    return parser;
  }

  private static int run(Namespace arguments) throws Exception {
    long seed = arguments.getLong("seed");
    double minutes = arguments.getDouble("minutes");
    int hosts = arguments.getInt("hosts");
    Path root = Path.of("").toAbsolutePath();
    Path folder = root.resolve("target/soak/seed-" + seed);
    delete(folder);
    Files.createDirectories(folder);
    SoakRun.Options options =
        new SoakRun.Options(
            seed,
            Math.round(Math.max(MIN_MINUTES, minutes) * 60_000),
            Math.max(1, hosts),
            groups(arguments.getString("faults")),
            arguments.getBoolean("check_evacuation"),
            arguments.getBoolean("check_fairness"),
            arguments.getBoolean("crash_loops"),
            arguments.getInt("failures"),
            arguments.getInt("gangs"),
            arguments.getBoolean("takeovers"),
            arguments.getBoolean("restarts"),
            arguments.getBoolean("restart_series"),
            root,
            Optional.of(arguments.getString("earlier"))
                .filter(d -> !d.isEmpty())
                .map(d -> Path.of(d).toAbsolutePath()),
            folder);
    String command = replayCommand(arguments);
    System.out.println("soak: " + command);
    Files.writeString(folder.resolve("command.txt"), command + "\n");
    SoakRun run = new SoakRun(options);
    boolean passed = false;
    try {
      List<Violation> violations = run.run();
      passed = violations.isEmpty();
      System.out.println(
          "soak: %s; %s"
              .formatted(
                  run.summary(), passed ? "no violation" : violations.size() + " violations"));
    } finally {
      if (!passed) {
        System.out.println("soak: FAILED; seed, plan and logs in " + folder);
        System.out.println("soak: replay with " + command);
      } else if (!arguments.getBoolean("keep")) {
        delete(folder);
      }
    }
    return passed ? 0 : 1;
  }

  private static Set<Group> groups(String list) {
    return switch (list) {
      case "all" -> EnumSet.allOf(Group.class);
      case "none" -> EnumSet.noneOf(Group.class);
      default ->
          Arrays.stream(list.split(","))
              .map(name -> Group.valueOf(name.trim().toUpperCase(Locale.ROOT)))
              .collect(Collectors.toSet());
    };
  }

  private static String replayCommand(Namespace arguments) {
    return "bin/soak --seed %s --minutes %s --hosts %s --faults %s --failures %s --gangs %s%s%s%s%s%s%s%s"
        .formatted(
            arguments.get("seed"),
            arguments.get("minutes"),
            arguments.get("hosts"),
            arguments.get("faults"),
            arguments.get("failures"),
            arguments.get("gangs"),
            arguments.getBoolean("check_evacuation") ? " --check-evacuation" : "",
            arguments.getBoolean("check_fairness") ? " --check-fairness" : "",
            arguments.getBoolean("crash_loops") ? " --crash-loops" : "",
            arguments.getBoolean("takeovers") ? " --takeovers" : "",
            arguments.getBoolean("restarts") ? " --restarts" : "",
            arguments.getBoolean("restart_series") ? " --restart-series" : "",
            arguments.getString("earlier").isEmpty()
                ? ""
                : " --earlier " + arguments.getString("earlier"));
  }

  private static void delete(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
