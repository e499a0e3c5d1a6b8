package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.HostUrl;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Parses the command line.
 *
 * <pre>{@code
 * ParsedCommandLine line = new CommandLine(System.getenv()).parse("teams", "--output", "json");
 * }</pre>
 *
 * @since 0.1
 */
public final class CommandLine {
  private static final int HELP_COLUMNS = 100;

  private final Map<String, String> environment;
  private final ArgumentParser parser;

  public CommandLine(Map<String, String> environment) {
    this.environment = Map.copyOf(environment);
    this.parser = parser();
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("cactusspring")
            .terminalWidthDetection(false)
            .defaultFormatWidth(HELP_COLUMNS)
            .build()
            .description("Command-line tool for callers and operators of cactusspring.")
            .epilog(exitCodes());
    Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
    CallerArguments.define(commands);
    OperatorArguments.define(commands);
    return parser;
  }

  private static String exitCodes() {
    return Arrays.stream(ExitCode.values())
        .map(c -> "  " + c.number() + "  " + c.meaning())
        .collect(Collectors.joining("\n", "exit codes:\n", ""));
  }

  /**
   * Parses arguments.
   *
   * @throws CliException with {@link ExitCode#OK} if help was requested and has been printed, else
   *     with a message that describes the error
   */
  public ParsedCommandLine parse(String... arguments) throws CliException {
    try {
      Namespace a = parser.parseArgs(arguments);
      CommandFactory factory = a.get(CommandFactory.KEY);
      Command command = factory.create(a);
      return new ParsedCommandLine(command, connection(a), SubcommandArguments.format(a));
    } catch (HelpScreenException e) {
      throw new CliException(ExitCode.OK, "", e); // the parser has printed the help
    } catch (ArgumentParserException e) {
      throw new CliException(ExitCode.BAD_INPUT, problem(e), e);
    } catch (IllegalArgumentException e) {
      throw new CliException(ExitCode.BAD_INPUT, e.getMessage(), e);
    }
  }

  /** Returns the usage, the error and similar names. */
  private static String problem(ArgumentParserException e) {
    StringWriter text = new StringWriter();
    e.getParser().handleError(e, new PrintWriter(text, true));
    return text.toString().stripTrailing();
  }

  private ConnectionOptions connection(Namespace a) {
    return new ConnectionOptions(
        hosts(a),
        option(a, "key_file", "CACTUSSPRING_KEY_FILE").map(Path::of),
        option(a, "ca_file", "CACTUSSPRING_CA_FILE").map(Path::of));
  }

  private List<HostUrl> hosts(Namespace a) {
    List<String> given = a.getList("host");
    List<String> texts = given == null ? hostsOfEnvironment() : given;
    return texts.stream().map(HostUrl::parse).toList();
  }

  private List<String> hostsOfEnvironment() {
    return Arrays.stream(environment.getOrDefault("CACTUSSPRING_HOSTS", "").split(","))
        .map(String::strip)
        .filter(s -> !s.isEmpty())
        .toList();
  }

  private Optional<String> option(Namespace a, String name, String variable) {
    return SubcommandArguments.text(a, name)
        .or(() -> Optional.ofNullable(environment.get(variable)));
  }
}
