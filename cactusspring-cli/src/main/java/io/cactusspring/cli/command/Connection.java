package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.Call;
import io.cactusspring.cli.client.ClientException;
import io.cactusspring.cli.client.EntryHostClient;
import io.cactusspring.cli.client.HostUrl;
import io.cactusspring.cli.client.Response;
import io.cactusspring.cli.note.ApiKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Calls with the caller's key; turns refusals and missing answers into exit codes. */
final class Connection implements AutoCloseable {
  private final EntryHostClient hosts;
  private final Optional<ApiKey> key;

  Connection(EntryHostClient hosts, Optional<ApiKey> key) {
    this.hosts = hosts;
    this.key = key;
  }

  List<HostUrl> urls() {
    return hosts.urls();
  }

  /** Name of the key, for messages and notes. */
  String keyName() throws CliException {
    return key.map(ApiKey::name)
        .orElseThrow(
            () ->
                new CliException(
                    ExitCode.BAD_INPUT,
                    "an operator's key is needed; give --key-file or set CACTUSSPRING_KEY"));
  }

  /** Sends and reads the answer. */
  <T> T read(Call.Builder call, Class<T> type) throws CliException {
    Response response = send(call);
    try {
      return response.json(type);
    } catch (ClientException e) {
      throw new CliException(ExitCode.OUTCOME_UNKNOWN, e.getMessage(), e);
    }
  }

  /** Answers of all hosts given that could be asked, and why the others could not. */
  record Responses<T>(List<T> responses, List<CliException> failures) {}

  /**
   * Sends to every host given.
   *
   * @throws CliException if none answered
   */
  <T> Responses<T> readAll(Call.Builder call, Class<T> type) throws CliException {
    List<T> responses = new ArrayList<>();
    List<CliException> failures = new ArrayList<>();
    Call sent = authorized(call);
    for (HostUrl url : hosts.urls()) {
      try {
        responses.add(readFrom(url, sent, type));
      } catch (CliException e) {
        failures.add(e);
      }
    }
    if (responses.isEmpty()) {
      throw failures.getFirst();
    }
    return new Responses<>(responses, failures);
  }

  /** Sends and returns the answer of one host. */
  private <T> T readFrom(HostUrl url, Call call, Class<T> type) throws CliException {
    try {
      Response response = hosts.sendTo(url, call);
      if (response.isError()) {
        throw CliExceptions.of(response.refusal(), response.status());
      }
      return response.json(type);
    } catch (ClientException e) {
      throw CliExceptions.of(e);
    }
  }

  /**
   * Sends and returns an answer that is no error.
   *
   * @throws CliException if the call was refused or got no answer
   */
  Response send(Call.Builder call) throws CliException {
    try {
      Response response = hosts.send(authorized(call));
      if (response.isError()) {
        throw CliExceptions.of(response.refusal(), response.status());
      }
      return response;
    } catch (ClientException e) {
      throw CliExceptions.of(e);
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
