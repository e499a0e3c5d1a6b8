package io.cactusspring.cli;

import io.cactusspring.cli.command.CommandLine;
import io.cactusspring.cli.command.CommandRunner;
import io.cactusspring.cli.command.ParsedCommandLine;
import io.cactusspring.cli.output.OutputFormat;
import io.cactusspring.cli.output.Progress;
import io.cactusspring.cli.output.Result;
import io.cactusspring.cli.wire.Json;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.Map;

/**
 * The command-line tool with its environment and streams as parameters.
 *
 * <pre>{@code
 * ExitCode code = new Cli(System.getenv(), System.in, System.out, System.err, false).run("version");
 * }</pre>
 *
 * @since 0.1
 */
public final class Cli {
  private final Map<String, String> environment;
  private final InputStream in;
  private final PrintStream out;
  private final PrintStream err;
  private final boolean terminal;

  /**
   * @param terminal whether {@code err} is a terminal, on which progress is shown
   */
  public Cli(
      Map<String, String> environment,
      InputStream in,
      PrintStream out,
      PrintStream err,
      boolean terminal) {
    this.environment = Map.copyOf(environment);
    this.in = in;
    this.out = out;
    this.err = err;
    this.terminal = terminal;
  }

  /** Runs one command and returns the exit code of the process. */
  public ExitCode run(String... arguments) {
    OutputFormat format = OutputFormat.TABLE;
    try {
      ParsedCommandLine line = new CommandLine(environment).parse(arguments);
      format = line.format();
      CommandRunner runner = new CommandRunner(environment, in, new Progress(err, terminal));
      Result result = runner.run(line);
      out.println(result.print(format));
      return result.exitCode();
    } catch (CliException e) {
      report(e, format);
      return e.exitCode();
    } catch (RuntimeException e) {
      err.println("cactusspring: internal error: " + e);
      return ExitCode.INTERNAL_ERROR;
    }
  }

  private void report(CliException e, OutputFormat format) {
    if (e.exitCode() == ExitCode.OK) {
      return;
    }
    switch (format) {
      case JSON -> err.println(Json.line(new Failure(e.exitCode().name(), e.getMessage())));
      case TABLE -> err.println(withToolName(e.getMessage()));
    }
  }

  /** Adds the name of the tool, which the parser's own messages already contain. */
  private static String withToolName(String message) {
    return message.startsWith("usage:") ? message : "cactusspring: " + message;
  }

  /** JSON form of a failure. */
  record Failure(String error, String message) {}
}
