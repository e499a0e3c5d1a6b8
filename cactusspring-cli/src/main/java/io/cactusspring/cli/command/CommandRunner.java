package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.EntryHostClient;
import io.cactusspring.cli.note.ApiKey;
import io.cactusspring.cli.output.Progress;
import io.cactusspring.cli.output.Result;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/**
 * Executes commands.
 *
 * @since 0.1
 */
public final class CommandRunner {
  private final Map<String, String> environment;
  private final InputStream input;
  private final Progress progress;

  public CommandRunner(Map<String, String> environment, InputStream input, Progress progress) {
    this.environment = Map.copyOf(environment);
    this.input = input;
    this.progress = progress;
  }

  /**
   * Executes a command.
   *
   * @throws CliException if the command ended without a result
   */
  public Result run(ParsedCommandLine line) throws CliException {
    return switch (line.command()) {
      case Command.KeyNew k -> LocalCommands.keyNew(k);
      case Command.Version v -> LocalCommands.version();
      default -> runConnected(line);
    };
  }

  private Result runConnected(ParsedCommandLine line) throws CliException {
    try (Connection connection = connect(line.connection())) {
      return run(line.command(), connection);
    }
  }

  private Result run(Command command, Connection connection) throws CliException {
    CallerCommands callers = new CallerCommands(connection, input);
    SubmissionCommands submissions = new SubmissionCommands(connection, progress);
    RevisionCommands revisions = new RevisionCommands(connection, progress);
    NoteCommands notes = new NoteCommands(connection, revisions);
    StatusCommands status = new StatusCommands(connection);
    return switch (command) {
      case Command.Request r -> callers.request(r);
      case Command.Submit s -> callers.submit(s);
      case Command.Cancel c -> callers.cancel(c);
      case Command.Watch w -> submissions.watch(w);
      case Command.SubmissionOutcome o -> submissions.outcome(o);
      case Command.Explain e -> submissions.explain(e);
      case Command.NoteCheck n -> notes.check(n);
      case Command.NoteApply n -> notes.apply(n);
      case Command.NoteStatus n -> revisions.status(n);
      case Command.Config c -> status.config(c);
      case Command.Teams t -> status.teams();
      case Command.Workers w -> status.workers();
      case Command.Queue q -> status.queue();
      case Command.Status s -> status.status();
      case Command.Drain d -> status.drain();
      case Command.KeyNew k -> LocalCommands.keyNew(k);
      case Command.Version v -> LocalCommands.version();
    };
  }

  private Connection connect(ConnectionOptions options) throws CliException {
    if (options.hosts().isEmpty()) {
      throw new CliException(
          ExitCode.BAD_INPUT, "no entry host given; use --host URL or set CACTUSSPRING_HOSTS");
    }
    Optional<ApiKey> key = key(options.keyFile());
    return new Connection(new EntryHostClient(options.hosts(), options.authorities()), key);
  }

  private Optional<ApiKey> key(Optional<Path> file) throws CliException {
    if (file.isPresent()) {
      return Optional.of(ApiKey.read(file.get()));
    }
    String text = environment.get("CACTUSSPRING_KEY");
    return text == null
        ? Optional.empty()
        : Optional.of(ApiKey.parse(text, "environment variable CACTUSSPRING_KEY"));
  }
}
