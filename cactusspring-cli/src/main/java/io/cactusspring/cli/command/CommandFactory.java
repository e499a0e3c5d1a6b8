package io.cactusspring.cli.command;

import net.sourceforge.argparse4j.inf.Namespace;

/** Makes a typed command of parsed arguments. */
@FunctionalInterface
interface CommandFactory {
  /** Name under which a subcommand's factory stands among its parsed arguments. */
  String KEY = "commandFactory";

  /**
   * @throws IllegalArgumentException if an argument is malformed
   */
  Command create(Namespace arguments);
}
