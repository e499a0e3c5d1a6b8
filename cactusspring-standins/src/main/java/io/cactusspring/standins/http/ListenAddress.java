package io.cactusspring.standins.http;

/**
 * The address that a stand-in listens on.
 *
 * @param host an IP address
 * @param port the port, or 0 for any free port
 * @since 0.1
 */
public record ListenAddress(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * @throws IllegalArgumentException if the host is empty or the port is out of range
   */
  public ListenAddress {
    if (host == null || host.isEmpty()) {
      throw new IllegalArgumentException("host is empty; expected an IP address");
    }
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port is " + port + "; expected 0 to " + MAX_PORT);
    }
  }

  /**
   * Parses {@code host:port}.
   *
   * @throws IllegalArgumentException if the text has a different format
   */
  public static ListenAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("address is \"" + text + "\"; expected host:port");
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new ListenAddress(text.substring(0, colon), port);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("address is \"" + text + "\"; expected host:port", e);
    }
  }

  /** Returns the address with the port increased by {@code steps}, or this one if the port is 0. */
  public ListenAddress plus(int steps) {
    return port == 0 ? this : new ListenAddress(host, port + steps);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
