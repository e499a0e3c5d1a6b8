package io.cactusspring.cli;

/**
 * Entry point of the process.
 *
 * @since 0.1
 */
public final class Main {
  private static final String TERMINAL_PROPERTY = "cactusspring.terminal";

  private Main() {}

  /** Runs the tool; the launch script sets a property if standard error is a terminal. */
  public static void main(String[] arguments) {
    boolean terminal = Boolean.getBoolean(TERMINAL_PROPERTY);
    Cli cli = new Cli(System.getenv(), System.in, System.out, System.err, terminal);
    System.exit(cli.run(arguments).number());
  }
}
