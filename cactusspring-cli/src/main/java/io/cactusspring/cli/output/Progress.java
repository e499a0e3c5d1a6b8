package io.cactusspring.cli.output;

import java.io.PrintStream;

/**
 * Progress line that is overwritten while the tool waits; printed only on a terminal.
 *
 * @since 0.1
 */
public final class Progress {
  private static final String CLEAR_LINE = "\r\u001b[K";

  private final PrintStream out;
  private final boolean terminal;

  public Progress(PrintStream out, boolean terminal) {
    this.out = out;
    this.terminal = terminal;
  }

  public void show(String text) {
    if (terminal) {
      out.print(CLEAR_LINE + text);
      out.flush();
    }
  }

  /** Removes the line. */
  public void clear() {
    show("");
  }
}
