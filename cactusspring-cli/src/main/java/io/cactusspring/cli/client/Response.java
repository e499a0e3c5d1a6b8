package io.cactusspring.cli.client;

import io.cactusspring.cli.wire.Json;
import io.cactusspring.cli.wire.Refusal;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The whole answer of an entry host.
 *
 * @param from the host that answered
 * @param requestId header {@code x-request-id}, empty when absent
 * @param executor header {@code x-executor}, empty when absent
 * @param attempts header {@code x-attempts}, empty when absent
 * @since 0.1
 */
public record Response(
    HostUrl from, int status, String requestId, String executor, String attempts, byte[] body) {
  private static final int FIRST_ERROR_STATUS = 400;

  public Response {
    body = body.clone();
  }

  @Override
  public byte[] body() {
    return body.clone();
  }

  public boolean isError() {
    return status >= FIRST_ERROR_STATUS;
  }

  /** The refusal of an error answer; one made from the status when the body is none. */
  public Refusal refusal() {
    return Json.tryRead(body, Refusal.class)
        .filter(r -> r.reason() != null)
        .orElseGet(() -> Refusal.ofStatus(status, text()));
  }

  /**
   * Reads the body.
   *
   * @throws ClientException if the body has another form
   */
  public <T> T json(Class<T> type) throws ClientException {
    Optional<T> value = Json.tryRead(body, type);
    if (value.isEmpty()) {
      throw ClientException.noResponse(
          from + " answered something else than expected of an entry host: " + text());
    }
    return value.get();
  }

  /** The body as text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
