package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP servers and JSON on loopback. */
final class Wire {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final int LOWEST_PORT = 10_000;
  private static final int HIGHEST_PORT = 30_000;
  private static final Set<Integer> HANDED_OUT = new HashSet<>();

  private Wire() {}

  /** An answer; a null answer closes the connection. */
  record Answer(int status, byte[] body) {
    static Answer json(int status, ObjectNode body) {
      try {
        return new Answer(status, JSON.writeValueAsBytes(body));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  interface Handler {
    Answer handle(HttpExchange request, byte[] body) throws Exception;
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static JsonNode read(byte[] body) throws IOException {
    return JSON.readTree(body);
  }

  /** Returns a port that is free, as is the next one, below those that the system hands out. */
  static synchronized int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT) & ~1;
      if (HANDED_OUT.add(port) && isFree(port) && isFree(port + 1)) {
        return port;
      }
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  /** Starts a server on a loopback port. */
  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Answer answer;
    try {
      answer = handler.handle(exchange, body);
    } catch (Exception e) {
      e.printStackTrace();
      answer = new Answer(500, new byte[0]);
    }
    if (answer == null) {
      exchange.close();
      return;
    }
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
    exchange.getResponseBody().write(answer.body());
    exchange.close();
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String query = exchange.getRequestURI().getQuery();
    if (query != null) {
      for (String part : query.split("&")) {
        int equals = part.indexOf('=');
        values.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return values;
  }
}
