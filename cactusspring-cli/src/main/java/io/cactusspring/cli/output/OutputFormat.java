package io.cactusspring.cli.output;

/**
 * How results are printed.
 *
 * @since 0.1
 */
public enum OutputFormat {
  TABLE,
  JSON
}
