package io.cactusspring.cli.client;

import io.cactusspring.cli.client.Call.Resend;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The entry hosts that the tool knows, tried in order.
 *
 * <pre>{@code
 * try (EntryHosts hosts = new EntryHosts(urls, Optional.empty())) {
 *   Reply reply = hosts.send(Call.get("/v1/status").build());
 * }
 * }</pre>
 *
 * @since 0.1
 */
public final class EntryHosts implements AutoCloseable {
  private static final int UNAVAILABLE_STATUS = 503;
  private static final Set<String> TRY_NEXT_REASONS = Set.of("not-ready", "draining");

  private final List<HostUrl> urls;
  private final Transport transport;

  /**
   * @param authorities certificates to trust for TLS; those of the Java runtime when empty
   * @throws IllegalArgumentException if there is no URL
   */
  public EntryHosts(List<HostUrl> urls, Optional<Path> authorities) {
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
  public Reply sendTo(HostUrl url, Call call) throws ClientException {
    return transport.send(url, call);
  }

  /**
   * Sends to the first host that answers. A host that is starting or draining counts as none.
   *
   * @throws ClientException if no answer came; {@link ClientException#sent} tells whether a host
   *     may have received the call
   */
  public Reply send(Call call) throws ClientException {
    Optional<Reply> refused = Optional.empty();
    ClientException failure = null;
    for (HostUrl url : call.resend() == Resend.NEVER ? urls.subList(0, 1) : urls) {
      try {
        Reply reply = transport.send(url, call);
        if (!triesNext(reply)) {
          return reply;
        }
        refused = Optional.of(reply);
      } catch (ClientException e) {
        failure = combine(failure, e);
        if (e.sent() && call.resend() != Resend.ALWAYS) {
          throw failure;
        }
      }
    }
    if (refused.isPresent() && (failure == null || !failure.sent())) {
      return refused.get();
    }
    throw failure;
  }

  private static boolean triesNext(Reply reply) {
    return reply.status() == UNAVAILABLE_STATUS
        && TRY_NEXT_REASONS.contains(reply.refusal().reason());
  }

  /** Keeps that an earlier host may have received the call. */
  private static ClientException combine(ClientException earlier, ClientException e) {
    if (earlier == null) {
      return e;
    }
    String message = earlier.getMessage() + "; " + e.getMessage();
    return earlier.sent() || e.sent()
        ? ClientException.noAnswer(message, e)
        : ClientException.unreachable(message, e);
  }

  @Override
  public void close() {
    transport.close();
  }
}
