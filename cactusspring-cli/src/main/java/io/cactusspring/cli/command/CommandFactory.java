package io.cactusspring.cli.command;

import net.sourceforge.argparse4j.inf.Namespace;

/** Creates a typed command from parsed arguments. */
@FunctionalInterface
interface CommandFactory {
  /** Name of the parsed argument that holds a subcommand's factory. */
  String KEY = "commandFactory";

  /**
   * @throws IllegalArgumentException if an argument is malformed
   */
  Command create(Namespace arguments);
}
