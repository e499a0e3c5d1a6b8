package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.Arguments;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * An IP address and a TCP port, for example {@code 127.0.0.1:7001} or {@code [::1]:7001}.
 *
 * @param host IP address without brackets
 * @param port 0 to 65535; with 0 the operating system assigns a free port to listen on
 * @since 0.1
 */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;
  private static final Pattern IPV4 =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})");
  private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
  private static final Pattern WITH_PORT = Pattern.compile("(?:\\[([^]]+)]|([^:]+)):(\\d{1,5})");

  /**
   * @throws IllegalArgumentException if the host is not an IP address or the port is out of range
   */
  public Address {
    if (host == null || !isIpAddress(host)) {
      throw new IllegalArgumentException("host is \"" + host + "\"; expected an IP address");
    }
    Arguments.checkRange("port", port, 0, MAX_PORT);
  }

  /**
   * Parses {@code IP:PORT}.
   *
   * @throws IllegalArgumentException if the text has another form or the port is out of range
   */
  public static Address parse(String text) {
    Matcher m = WITH_PORT.matcher(text == null ? "" : text);
    if (!m.matches()) {
      throw new IllegalArgumentException(
          "address is \"" + text + "\"; expected an IP address and a port as in 127.0.0.1:7001");
    }
    String host = m.group(1) == null ? m.group(2) : m.group(1);
    return new Address(host, Integer.parseInt(m.group(3)));
  }

  private static boolean isIpAddress(String host) {
    Matcher m = IPV4.matcher(host);
    if (m.matches()) {
      return IntStream.rangeClosed(1, 4).allMatch(i -> Integer.parseInt(m.group(i)) <= MAX_OCTET);
    }
    return IPV6.matcher(host).matches();
  }

  @Override
  public String toString() {
    return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
  }
}
