package io.cactusspring.cli.command;

import io.cactusspring.cli.output.OutputFormat;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Helper methods for the definitions of subcommands. */
final class SubcommandArguments {
  private SubcommandArguments() {}

  /** Adds a subcommand with the option {@code --output}. */
  static Subparser add(
      Subparsers parent, String name, String help, String example, CommandFactory factory) {
    Subparser parser =
        parent
            .addParser(name)
            .help(help)
            .description(help)
            .epilog("Example: cactusspring " + example)
            .setDefault(CommandFactory.KEY, factory);
    parser
        .addArgument("--output")
        .choices("json", "table")
        .setDefault("table")
        .help("table, or one line of JSON (default: table)");
    return parser;
  }

  /** Adds the options for the entry hosts, the key and the trusted certificates. */
  static Subparser addConnection(Subparser parser) {
    parser
        .addArgument("--host")
        .action(Arguments.append())
        .metavar("URL")
        .help("entry host; repeatable (default: CACTUSSPRING_HOSTS)");
    parser
        .addArgument("--key-file")
        .metavar("FILE")
        .help("file with the key NAME.SECRET (default: CACTUSSPRING_KEY_FILE or _KEY)");
    parser
        .addArgument("--ca-file")
        .metavar("FILE")
        .help("PEM file of certificates trusted for https (default: CACTUSSPRING_CA_FILE)");
    return parser;
  }

  static void addFlag(Subparser parser, String name, String help) {
    parser.addArgument(name).action(Arguments.storeTrue()).help(help);
  }

  static void addMillis(Subparser parser, String name, long defaultMillis, String help) {
    parser
        .addArgument(name)
        .type(Long.class)
        .setDefault(defaultMillis)
        .metavar("MS")
        .help(help + " (default: " + defaultMillis + ")");
  }

  static Optional<String> text(Namespace arguments, String name) {
    return Optional.ofNullable(arguments.getString(name));
  }

  static Optional<Path> path(Namespace arguments, String name) {
    return text(arguments, name).map(Path::of);
  }

  static OutputFormat format(Namespace arguments) {
    return OutputFormat.valueOf(arguments.getString("output").toUpperCase(Locale.ROOT));
  }
}
