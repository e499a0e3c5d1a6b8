package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** An HTTP server on a free loopback port, with one virtual thread for each request. */
final class Web {
  static final ObjectMapper MAPPER = new ObjectMapper();

  /** A response; a status of 0 closes the connection without one. */
  record Response(int status, byte[] body) {}

  interface Handler {
    Response handle(HttpExchange exchange, byte[] body) throws Exception;
  }

  private final HttpServer server;

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    System.setProperty("sun.net.httpserver.idleInterval", "120");
  }

  Web(Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1_000);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> serve(handler, exchange));
    server.start();
  }

  private static void serve(Handler handler, HttpExchange exchange) {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Response response = handler.handle(exchange, body);
      if (response.status() == 0) {
        return;
      }
      int length = response.body().length;
      exchange.sendResponseHeaders(response.status(), length == 0 ? -1 : length);
      if (length > 0) {
        exchange.getResponseBody().write(response.body());
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    } catch (Exception e) {
      e.printStackTrace();
    }
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void close() {
    server.stop(0);
  }

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  static JsonNode read(byte[] body) throws IOException {
    return MAPPER.readTree(body);
  }

  static Response json(int status, ObjectNode body) throws IOException {
    return new Response(status, MAPPER.writeValueAsBytes(body));
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
