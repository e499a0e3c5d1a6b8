package io.cactusspring.cli.client;

import io.cactusspring.core.model.Arguments;
import java.net.URI;
import java.util.Locale;

/**
 * URL at which an entry host accepts calls, for example {@code http://127.0.0.1:9001}.
 *
 * @param tls whether to use TLS
 * @since 0.1
 */
public record HostUrl(boolean tls, String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * @throws IllegalArgumentException if the host is empty or the port is out of range
   */
  public HostUrl {
    if (host == null || host.isEmpty()) {
      throw new IllegalArgumentException("host is empty; expected a name or an IP address");
    }
    Arguments.checkRange("port", port, 1, MAX_PORT);
  }

  /**
   * Parses {@code [http://|https://]HOST:PORT}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static HostUrl parse(String text) {
    String full = text.contains("://") ? text : "http://" + text;
    try {
      URI uri = URI.create(full);
      String scheme = uri.getScheme().toLowerCase(Locale.ROOT);
      boolean known = scheme.equals("http") || scheme.equals("https");
      boolean bare = uri.getPath().isEmpty() || uri.getPath().equals("/");
      if (known && bare && uri.getHost() != null && uri.getPort() > 0) {
        return new HostUrl(scheme.equals("https"), uri.getHost(), uri.getPort());
      }
    } catch (IllegalArgumentException e) {
      throw malformed(text, e);
    }
    throw malformed(text, null);
  }

  private static IllegalArgumentException malformed(String text, Throwable cause) {
    return new IllegalArgumentException(
        "host is \"" + text + "\"; expected a URL with a port as in http://127.0.0.1:9001", cause);
  }

  @Override
  public String toString() {
    return (tls ? "https://" : "http://") + host + ":" + port;
  }
}
