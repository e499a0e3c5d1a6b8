package io.cactusspring.processtests;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards connections to one port and can make connections silent. */
final class Relay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;

  private final ServerSocket server;
  private final List<Link> links = new CopyOnWriteArrayList<>();
  private volatile int targetPort;
  private volatile boolean cut;

  Relay() throws IOException {
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Thread.ofVirtual().start(this::accept);
  }

  /** Two ends of a forwarded connection. */
  private static final class Link {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    Link(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  void forwardTo(int port) {
    targetPort = port;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /**
   * Makes the open connections silent: they stay open and carry nothing more. New ones work.
   *
   * @return the number of connections that became silent
   */
  int silenceOpenConnections() {
    links.forEach(link -> link.silent = true);
    return links.size();
  }

  /** Carries nothing more on any connection, open or new. */
  void cut() {
    cut = true;
    silenceOpenConnections();
  }

  /** Closes the silent connections and carries new ones again. */
  void heal() throws IOException {
    cut = false;
    for (Link link : links) {
      if (link.silent) {
        link.near.close();
        link.far.close();
      }
    }
  }

  /** Returns how many connections were ever accepted. */
  int accepted() {
    return links.size();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Link link : links) {
      link.near.close();
      link.far.close();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Link link = new Link(near, new Socket(InetAddress.getLoopbackAddress(), targetPort));
        link.silent = cut;
        links.add(link);
        Thread.ofVirtual().start(() -> forward(link, link.near, link.far));
        Thread.ofVirtual().start(() -> forward(link, link.far, link.near));
      } catch (IOException e) {
        // The target is not up, or the relay was closed.
        continue;
      }
    }
  }

  private static void forward(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (!link.silent) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      // An end was closed.
    }
    if (!link.silent) {
      closeQuietly(from);
      closeQuietly(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed all the same.
    }
  }
}
