package io.cactusspring.cli.client;

import io.cactusspring.cli.client.Call.ResendPolicy;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Sends calls to the configured entry hosts, which are tried in order.
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
   * @param authorities PEM file of the certificates trusted for TLS; when empty, those of the Java
   *     runtime are trusted
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

  /**
   * Sends a call to one host only.
   *
   * @throws ClientException if no valid response arrived
   */
  public Response sendTo(HostUrl url, Call call) throws ClientException {
    return transport.send(url, call);
  }

  /**
   * Sends a call to the hosts in order until one responds, as far as the resend policy allows. A
   * host that is starting or draining is skipped; its response is returned if no other host
   * responds and none may have received the call.
   *
   * @throws ClientException if no valid response arrived; {@link ClientException#possiblySent}
   *     states whether a host may have received the call
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

  /** Merges two failures; the result is marked as possibly sent if either of them is. */
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
