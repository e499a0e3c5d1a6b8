package io.cactusspring.cli.client;

import io.cactusspring.cli.client.Call.ResendPolicy;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The entry hosts that the tool knows, tried in order.
 *
 * <pre>{@code
 * try (EntryHostClient hosts = new EntryHostClient(urls, Optional.empty())) {
 *   Response response = hosts.send(Call.get("/v1/status").build());
 * }
 * }</pre>
 *
 * @since 0.1
 */
public final class EntryHostClient implements AutoCloseable {
  private static final int UNAVAILABLE_STATUS = 503;
  private static final Set<String> UNAVAILABLE_REASONS = Set.of("not-ready", "draining");

  private final List<HostUrl> urls;
  private final Transport transport;

  /**
   * @param authorities certificates to trust for TLS; those of the Java runtime when empty
   * @throws IllegalArgumentException if there is no URL
   */
  public EntryHostClient(List<HostUrl> urls, Optional<Path> authorities) {
    if (urls.isEmpty()) {
      throw new IllegalArgumentException("no entry host given");
    }
    this.urls = List.copyOf(urls);
    this.transport = new Transport(authorities);
  }

  public List<HostUrl> urls() {
    return urls;
  }

  /** Sends to one host only. */
  public Response sendTo(HostUrl url, Call call) throws ClientException {
    return transport.send(url, call);
  }

  /**
   * Sends to the first host that answers. A host that is starting or draining counts as none.
   *
   * @throws ClientException if no answer came; {@link ClientException#possiblySent} tells whether a
   *     host may have received the call
   */
  public Response send(Call call) throws ClientException {
    Optional<Response> unavailable = Optional.empty();
    ClientException failure = null;
    for (HostUrl url : call.resendPolicy() == ResendPolicy.NEVER ? urls.subList(0, 1) : urls) {
      try {
        Response response = transport.send(url, call);
        if (!isUnavailable(response)) {
          return response;
        }
        unavailable = Optional.of(response);
      } catch (ClientException e) {
        failure = combine(failure, e);
        if (e.possiblySent() && call.resendPolicy() != ResendPolicy.ALWAYS) {
          throw failure;
        }
      }
    }
    if (unavailable.isPresent() && (failure == null || !failure.possiblySent())) {
      return unavailable.get();
    }
    throw failure;
  }

  private static boolean isUnavailable(Response response) {
    return response.status() == UNAVAILABLE_STATUS
        && UNAVAILABLE_REASONS.contains(response.refusal().reason());
  }

  /** Keeps that an earlier host may have received the call. */
  private static ClientException combine(ClientException earlier, ClientException e) {
    if (earlier == null) {
      return e;
    }
    String message = earlier.getMessage() + "; " + e.getMessage();
    return earlier.possiblySent() || e.possiblySent()
        ? ClientException.noResponse(message, e)
        : ClientException.unreachable(message, e);
  }

  @Override
  public void close() {
    transport.close();
  }
}
