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

/** Forwards TCP connections to one port and can silently drop their traffic. */
final class Relay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;

  private final ServerSocket server;
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private volatile int targetPort;
  private volatile boolean blocked;

  Relay() throws IOException {
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Thread.ofVirtual().start(this::accept);
  }

  /** The two sockets of a forwarded connection. */
  private static final class Connection {
    private final Socket client;
    private final Socket target;
    private volatile boolean silent;

    Connection(Socket client, Socket target) {
      this.client = client;
      this.target = target;
    }
  }

  void forwardTo(int port) {
    targetPort = port;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /**
   * Makes the open connections silent: they stay open, but all further bytes are dropped. New
   * connections are forwarded as usual.
   *
   * @return the number of connections that became silent
   */
  int silenceOpenConnections() {
    connections.forEach(connection -> connection.silent = true);
    return connections.size();
  }

  /** Drops all further bytes on open and new connections. */
  void block() {
    blocked = true;
    silenceOpenConnections();
  }

  /** Closes the silent connections and forwards new ones again. */
  void unblock() throws IOException {
    blocked = false;
    for (Connection connection : connections) {
      if (connection.silent) {
        connection.client.close();
        connection.target.close();
      }
    }
  }

  /** Returns the number of connections accepted since the relay was opened. */
  int accepted() {
    return connections.size();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Connection connection : connections) {
      connection.client.close();
      connection.target.close();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket client = server.accept();
        Connection connection =
            new Connection(client, new Socket(InetAddress.getLoopbackAddress(), targetPort));
        connection.silent = blocked;
        connections.add(connection);
        Thread.ofVirtual().start(() -> forward(connection, connection.client, connection.target));
        Thread.ofVirtual().start(() -> forward(connection, connection.target, connection.client));
      } catch (IOException e) {
        // The target does not accept connections yet, or the relay was closed.
        continue;
      }
    }
  }

  private static void forward(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (!connection.silent) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      // One of the sockets was closed.
    }
    if (!connection.silent) {
      closeQuietly(from);
      closeQuietly(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket counts as closed even if close() fails.
    }
  }
}
