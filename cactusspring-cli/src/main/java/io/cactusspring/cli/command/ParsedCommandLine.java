package io.cactusspring.cli.command;

import io.cactusspring.cli.output.OutputFormat;

/**
 * A parsed command line.
 *
 * @since 0.1
 */
public record ParsedCommandLine(
    Command command, ConnectionOptions connection, OutputFormat format) {}
