package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on loopback, with one virtual thread for each connection. */
final class Http implements AutoCloseable {
  /** A request whose body was read completely. */
  record Request(
      String method,
      String path,
      Map<String, String> query,
      Map<String, String> headers,
      byte[] body) {}

  /** An answer; a handler that returns null closes the connection without one. */
  record Reply(int status, byte[] body) {
    static Reply text(int status, String body) {
      return new Reply(status, body.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Answers a request. */
  interface Handler {
    Reply handle(Request request) throws Exception;
  }

  private final ServerSocket server;
  private final Handler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /** Listens on a port; 0 chooses a free one. */
  Http(int port, Handler handler) throws IOException {
    this.handler = handler;
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (!closed) {
        Request request = read(in);
        Reply reply = handler.handle(request);
        if (reply == null) {
          return;
        }
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        answer.write(
            ("HTTP/1.1 "
                    + reply.status
                    + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + reply.body.length
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        answer.write(reply.body);
        out.write(answer.toByteArray());
        out.flush();
      }
    } catch (Exception e) {
      // The peer is gone, or the stand-in was closed.
    } finally {
      connections.remove(socket);
    }
  }

  private static Request read(InputStream in) throws IOException {
    String[] first = line(in).split(" ");
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    String[] target = first[1].split("\\?", 2);
    Map<String, String> query = new HashMap<>();
    if (target.length == 2) {
      for (String pair : target[1].split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(
            parts[0],
            parts.length == 2 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
      }
    }
    return new Request(first[0], target[0], query, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  /** Closes all connections, but goes on listening. */
  void reset() {
    connections.forEach(Http::closeQuietly);
  }

  @Override
  public void close() {
    closed = true;
    try {
      server.close();
    } catch (IOException e) {
      // It is closed.
    }
    reset();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }
}
