/**
 * The command-line tool for callers and operators.
 *
 * <p>{@link io.cactusspring.cli.command.CommandLine} parses arguments into a typed command, which
 * {@link io.cactusspring.cli.command.CommandRunner} executes through {@link
 * io.cactusspring.cli.client.EntryHostClient}.
 */
package io.cactusspring.cli;
