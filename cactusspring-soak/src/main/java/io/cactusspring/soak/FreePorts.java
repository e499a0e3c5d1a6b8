package io.cactusspring.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.stream.IntStream;

/** Finds free loopback ports below the ephemeral range, which outgoing connections use. */
final class FreePorts {
  private static final int LOWEST = 10_000;
  private static final int SPAN = 20_000;

  private FreePorts() {}

  /**
   * Returns the first of consecutive free ports.
   *
   * @throws IOException if no such range was found
   */
  static int consecutive(int count) throws IOException {
    // Soaks that run beside each other begin their search at different ports.
    int start = (int) (ProcessHandle.current().pid() * 97 % SPAN);
    for (int i = 0; i < SPAN; i += count) {
      int first = LOWEST + (start + i) % SPAN;
      if (IntStream.range(first, first + count).allMatch(FreePorts::isFree)) {
        return first;
      }
    }
    throw new IOException("no " + count + " consecutive free ports found");
  }

  private static boolean isFree(int port) {
    try (ServerSocket unused = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
