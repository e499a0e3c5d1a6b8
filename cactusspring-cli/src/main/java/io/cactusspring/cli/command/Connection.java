package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.Call;
import io.cactusspring.cli.client.ClientException;
import io.cactusspring.cli.client.EntryHosts;
import io.cactusspring.cli.client.HostUrl;
import io.cactusspring.cli.client.Reply;
import io.cactusspring.cli.note.KeyText;
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

  /** Sends and returns the answer of one host. */
  <T> T readFrom(HostUrl url, Call.Builder call, Class<T> type) throws CliException {
    try {
      Reply reply = hosts.sendTo(url, authorized(call));
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
