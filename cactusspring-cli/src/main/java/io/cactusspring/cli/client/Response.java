package io.cactusspring.cli.client;

import io.cactusspring.cli.wire.Json;
import io.cactusspring.cli.wire.Refusal;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The complete response of an entry host.
 *
 * @param from the host that responded
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

  /**
   * Returns the refusal in an error response, or one made from the status if the body holds none.
   */
  public Refusal refusal() {
    return Json.tryRead(body, Refusal.class)
        .filter(r -> r.reason() != null)
        .orElseGet(() -> Refusal.ofStatus(status, text()));
  }

  /**
   * Parses the body as JSON.
   *
   * @throws ClientException if the body is not JSON of this type
   */
  public <T> T json(Class<T> type) throws ClientException {
    Optional<T> value = Json.tryRead(body, type);
    if (value.isEmpty()) {
      throw ClientException.noResponse(
          from + " sent a response that is not that of an entry host: " + text());
    }
    return value.get();
  }

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
