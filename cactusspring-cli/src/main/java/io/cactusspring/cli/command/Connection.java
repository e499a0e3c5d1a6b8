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

/** Sends calls with the caller's key; maps refusals and missing responses to exit codes. */
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

  /** Returns the name of the key, which a release note carries as its operator. */
  String keyName() throws CliException {
    return key.map(ApiKey::name)
        .orElseThrow(
            () ->
                new CliException(
                    ExitCode.BAD_INPUT,
                    "an operator's key is needed; give --key-file or set CACTUSSPRING_KEY"));
  }

  /**
   * Sends a call and parses the response.
   *
   * @throws CliException if the call was refused or got no valid response
   */
  <T> T read(Call.Builder call, Class<T> type) throws CliException {
    Response response = send(call);
    try {
      return response.json(type);
    } catch (ClientException e) {
      throw new CliException(ExitCode.OUTCOME_UNKNOWN, e.getMessage(), e);
    }
  }

  /** Responses of the configured hosts, and the failures of those that did not respond. */
  record Responses<T>(List<T> responses, List<CliException> failures) {}

  /**
   * Sends a call to every configured host.
   *
   * @throws CliException if no host responded
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

  /** Sends a call to one host and parses the response. */
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
   * Sends a call and returns the response, which is not an error.
   *
   * @throws CliException if the call was refused or got no valid response
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
