package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.Call;
import io.cactusspring.cli.client.Call.ResendPolicy;
import io.cactusspring.cli.note.Difference;
import io.cactusspring.cli.note.NoteFile;
import io.cactusspring.cli.output.Result;
import io.cactusspring.cli.wire.ConfigurationView;
import io.cactusspring.cli.wire.Json;
import io.cactusspring.cli.wire.NoteResponse;
import io.cactusspring.core.model.ReleaseNote;
import java.util.List;

/** Commands that check and apply release notes. */
final class NoteCommands {
  private final Connection connection;
  private final RevisionCommands revisions;

  NoteCommands(Connection connection, RevisionCommands revisions) {
    this.connection = connection;
    this.revisions = revisions;
  }

  Result check(Command.NoteCheck c) throws CliException {
    ReleaseNote note = NoteFile.read(c.file(), c.id(), connection.keyName());
    ConfigurationView view =
        connection.read(Call.get("/v1/configuration"), ConfigurationView.class);
    List<Difference> differences = Difference.of(note, view);
    String shown = Difference.print(differences);
    try {
      connection.send(
          Call.post("/v1/notes/check").json(Json.write(note)).resendPolicy(ResendPolicy.ALWAYS));
      return Result.ok(
          new Checked(view.revision(), true, null, differences),
          shown + "\nwould be accepted against revision " + view.revision());
    } catch (CliException e) {
      return new Result(
          e.exitCode(),
          new Checked(view.revision(), false, e.getMessage(), differences),
          shown + "\nwould not be accepted: " + e.getMessage());
    }
  }

  /**
   * JSON result of a check.
   *
   * @param problem why the note would not be accepted; null if it would be
   */
  record Checked(long revision, boolean accepted, String problem, List<Difference> differences) {}

  Result apply(Command.NoteApply c) throws CliException {
    ReleaseNote note = NoteFile.read(c.file(), c.id(), connection.keyName());
    Call.Builder call =
        Call.post("/v1/notes").json(Json.write(note)).resendPolicy(ResendPolicy.ALWAYS);
    try {
      NoteResponse a = connection.read(call, NoteResponse.class);
      if (c.waitMillis() > 0) {
        return revisions.status(new Command.NoteStatus(a.revision(), c.waitMillis()));
      }
      return Result.ok(a, "note " + a.id() + " accepted with revision " + a.revision());
    } catch (CliException e) {
      throw withId(e, note.id());
    }
  }

  private static CliException withId(CliException e, String id) {
    if (e.exitCode() != ExitCode.OUTCOME_UNKNOWN) {
      return e;
    }
    String hint = "\nsend the note again with --id " + id + ", so that it takes effect once";
    return new CliException(e.exitCode(), e.getMessage() + hint, e);
  }
}
