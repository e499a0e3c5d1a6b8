package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.Call;
import io.cactusspring.cli.client.Call.ResendPolicy;
import io.cactusspring.cli.client.Response;
import io.cactusspring.cli.output.Result;
import io.cactusspring.cli.wire.Json;
import io.cactusspring.cli.wire.SubmissionResponse;
import io.cactusspring.core.model.TaskSpec;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.UUID;

/** Commands that send requests, submissions and cancellations. */
final class CallerCommands {
  /** Time for the response of an entry host to arrive after the deadline has passed there. */
  private static final long RESPONSE_MARGIN_MILLIS = 2_000;

  private final Connection connection;
  private final InputStream input;

  CallerCommands(Connection connection, InputStream input) {
    this.connection = connection;
    this.input = input;
  }

  Result request(Command.Request r) throws CliException {
    String id = r.id().orElseGet(() -> "request-" + UUID.randomUUID());
    Call.Builder call =
        Call.post("/v1/services/" + r.service() + "/requests")
            .body(read(r.body()))
            .header("x-request-id", id)
            .header("x-idempotent", Boolean.toString(r.idempotent()))
            .header("x-deadline-millis", Long.toString(r.deadlineMillis()))
            .resendPolicy(r.idempotent() ? ResendPolicy.ALWAYS : ResendPolicy.IF_UNSENT)
            .timeoutMillis(r.deadlineMillis() + RESPONSE_MARGIN_MILLIS);
    r.queue().ifPresent(q -> call.header("x-queue", q));
    Response response = connection.send(call);
    return Result.ok(
        new RequestResult(
            response.requestId(), response.executor(), response.attempts(), response.text()),
        response.text());
  }

  /** JSON result of a request. */
  record RequestResult(String requestId, String executor, String attempts, String body) {}

  private byte[] read(Command.Body body) throws CliException {
    try {
      return switch (body) {
        case Command.Body.Text t -> t.text().getBytes(StandardCharsets.UTF_8);
        case Command.Body.InFile f -> Files.readAllBytes(f.file());
        case Command.Body.StandardInput s -> input.readAllBytes();
      };
    } catch (IOException e) {
      throw new CliException(ExitCode.BAD_INPUT, "the request body cannot be read: " + e, e);
    }
  }

  /** JSON body of a submission; a null team stands for the team of the key. */
  record SubmissionBody(String id, String team, boolean gang, int tasks, TaskSpec task) {}

  Result submit(Command.Submit s) throws CliException {
    String id = s.id().orElseGet(() -> "s-" + UUID.randomUUID());
    SubmissionBody body =
        new SubmissionBody(id, s.team().orElse(null), s.gang(), s.tasks(), s.task());
    Call.Builder call =
        Call.post("/v1/submissions").json(Json.write(body)).resendPolicy(ResendPolicy.ALWAYS);
    try {
      SubmissionResponse a = connection.read(call, SubmissionResponse.class);
      return Result.ok(a, "accepted " + a.id() + " at " + a.home());
    } catch (CliException e) {
      throw withId(e, id);
    }
  }

  /**
   * Adds the id to the message of an unknown outcome. Without {@code --id}, the same command line
   * would generate another id and submit the work a second time.
   */
  private static CliException withId(CliException e, String id) {
    if (e.exitCode() != ExitCode.OUTCOME_UNKNOWN) {
      return e;
    }
    String hint =
        "\nquery it with: cactusspring outcome " + id + ", or submit again with --id " + id;
    return new CliException(e.exitCode(), e.getMessage() + hint, e);
  }

  Result cancel(Command.Cancel c) throws CliException {
    connection.send(
        Call.post("/v1/submissions/" + c.id() + "/cancel")
            .json(new byte[0])
            .resendPolicy(ResendPolicy.ALWAYS));
    return Result.ok(
        new Cancelled(c.id(), true),
        "cancellation of " + c.id() + " accepted; runs that have ended keep their outcome");
  }

  /** JSON result of a cancellation. */
  record Cancelled(String id, boolean accepted) {}
}
