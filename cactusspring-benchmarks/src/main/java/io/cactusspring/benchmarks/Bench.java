package io.cactusspring.benchmarks;

import io.cactusspring.benchmarks.rounds.Regression;
import io.cactusspring.benchmarks.rounds.RoundsPlot;
import io.cactusspring.benchmarks.slopes.SlopeReport;
import io.cactusspring.benchmarks.stages.StageReport;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command line of the benchmarks. */
public final class Bench {
  private static final int REGRESSION = 1;
  private static final int BAD_INPUT = 2;
  private static final Path JOURNAL = Path.of("journal");

  private Bench() {}

  public static void main(String[] args) throws IOException, InterruptedException {
    ArgumentParser parser = parser();
    try {
      run(parser.parseArgs(args));
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(BAD_INPUT);
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("bench")
            .build()
            .defaultHelp(true)
            .description("Measures the decision code against baselines under a virtual clock.")
            .epilog("Example: bin/bench --quick --seed 7");
    parser.addArgument("--seed").type(Long.class).setDefault(7L).help("seed of all arrivals");
    parser
        .addArgument("--quick")
        .action(Arguments.storeTrue())
        .help("run for a few seconds instead of about two minutes; the figures are less accurate");
    parser
        .addArgument("what")
        .nargs("?")
        .choices("report", "slopes", "rounds", "regress", "stages")
        .setDefault("report")
        .help(
            "report: decisions versus baselines; slopes: cost of each role by size; rounds: worth of"
                + " the standard days over the entries in journal/; regress: plays deployments and"
                + " compares each day with its last entry; stages: where the time of jobs went, from"
                + " the logs of entry hosts");
    parser
        .addArgument("files")
        .nargs("*")
        .help("logs of entry hosts, for stages; lines of other programs are passed over");
    parser
        .addArgument("--plots")
        .type(String.class)
        .setDefault("target/bench/plots")
        .help("directory for the plots, as PNG");
    parser
        .addArgument("--csv")
        .type(String.class)
        .setDefault("target/bench")
        .help("directory for the figures as CSV");
    parser
        .addArgument("--program")
        .type(String.class)
        .help("path of the user benchmark, for regress");
    parser
        .addArgument("--site")
        .action(Arguments.append())
        .setDefault(List.of())
        .help("path of a deployment, for regress; repeatable");
    parser
        .addArgument("--jobs")
        .type(Integer.class)
        .setDefault(Math.max(1, Runtime.getRuntime().availableProcessors() / 2))
        .help("days played at the same time, for regress");
    parser
        .addArgument("--why")
        .type(String.class)
        .setDefault("regression run")
        .help("reason of the run, for the journal");
    return parser;
  }

  private static void run(Namespace options) throws IOException, InterruptedException {
    Effort effort = options.getBoolean("quick") ? Effort.quick() : Effort.full();
    Path csv = Path.of(options.getString("csv"));
    Path plots = Path.of(options.getString("plots"));
    switch (options.getString("what")) {
      case "slopes" -> new SlopeReport(csv, plots).run(System.out);
      case "rounds" -> RoundsPlot.write(JOURNAL, plots);
      case "regress" -> regress(options);
      case "stages" -> stages(options.getList("files"), plots);
      default -> new Report(effort, options.getLong("seed"), csv).run(System.out);
    }
  }

  private static void stages(List<String> files, Path plots) throws IOException {
    if (files.isEmpty()) {
      exit("stages needs at least one log of an entry host");
    }
    StageReport report = StageReport.read(files.stream().map(Path::of).toList());
    if (report.size() == 0) {
      exit("no line with event CS2402 in " + String.join(", ", files));
    }
    report.print(System.out);
    report.plot(plots);
  }

  private static void exit(String problem) {
    System.err.println("bench: " + problem);
    System.exit(BAD_INPUT);
  }

  private static void regress(Namespace options) throws IOException, InterruptedException {
    String program = options.getString("program");
    List<String> sites = options.getList("site");
    if (program == null || sites.isEmpty()) {
      exit("regress needs --program and at least one --site");
    }
    boolean sound =
        new Regression(JOURNAL, System.out)
            .play(Path.of(program), sites, options.getInt("jobs"), options.getString("why"));
    if (!sound) {
      System.exit(REGRESSION);
    }
  }
}
