package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.Call;
import io.cactusspring.cli.client.ClientException;
import io.cactusspring.cli.client.EntryHosts;
import io.cactusspring.cli.client.HostUrl;
import io.cactusspring.cli.client.Reply;
import io.cactusspring.cli.note.KeyText;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Calls with the caller's key; turns refusals and missing answers into exit codes. */
final class Connection implements AutoCloseable {
  private final EntryHosts hosts;
  private final Optional<KeyText> key;

  Connection(EntryHosts hosts, Optional<KeyText> key) {
    this.hosts = hosts;
    this.key = key;
  }

  List<HostUrl> urls() {
    return hosts.urls();
  }

  /** Name of the key, for messages and notes. */
  String keyName() throws CliException {
    return key.map(KeyText::name)
        .orElseThrow(
            () ->
                new CliException(
                    ExitCode.BAD_INPUT,
                    "an operator's key is needed; give --key-file or set CACTUSSPRING_KEY"));
  }

  /** Sends and reads the answer. */
  <T> T read(Call.Builder call, Class<T> type) throws CliException {
    Reply reply = send(call);
    try {
      return reply.json(type);
    } catch (ClientException e) {
      throw new CliException(ExitCode.OUTCOME_UNKNOWN, e.getMessage(), e);
    }
  }

  /** Answers of all hosts given that could be asked, and why the others could not. */
  record Answers<T>(List<T> answers, List<CliException> failures) {}

  /**
   * Sends to every host given.
   *
   * @throws CliException if none answered
   */
  <T> Answers<T> readAll(Call.Builder call, Class<T> type) throws CliException {
    List<T> answers = new ArrayList<>();
    List<CliException> failures = new ArrayList<>();
    Call sent = authorized(call);
    for (HostUrl url : hosts.urls()) {
      try {
        answers.add(readFrom(url, sent, type));
      } catch (CliException e) {
        failures.add(e);
      }
    }
    if (answers.isEmpty()) {
      throw failures.getFirst();
    }
    return new Answers<>(answers, failures);
  }

  /** Sends and returns the answer of one host. */
  private <T> T readFrom(HostUrl url, Call call, Class<T> type) throws CliException {
    try {
      Reply reply = hosts.sendTo(url, call);
      if (reply.isError()) {
        throw Refusals.exception(reply.refusal(), reply.status());
      }
      return reply.json(type);
    } catch (ClientException e) {
      throw Refusals.exception(e);
    }
  }

  /**
   * Sends and returns an answer that is no error.
   *
   * @throws CliException if the call was refused or got no answer
   */
  Reply send(Call.Builder call) throws CliException {
    try {
      Reply reply = hosts.send(authorized(call));
      if (reply.isError()) {
        throw Refusals.exception(reply.refusal(), reply.status());
      }
      return reply;
    } catch (ClientException e) {
      throw Refusals.exception(e);
    }
  }

  private Call authorized(Call.Builder call) {
    key.ifPresent(k -> call.header("authorization", k.authorization()));
    return call.build();
  }

  @Override
  public void close() {
    hosts.close();
  }
}
