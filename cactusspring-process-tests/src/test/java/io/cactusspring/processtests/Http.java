package io.cactusspring.processtests;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/** Sends HTTP requests to processes on loopback and decodes JSON responses. */
final class Http {
  private static final Duration TIMEOUT = Duration.ofSeconds(40);
  private static final JsonMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();

  private Http() {}

  /** An HTTP status code and body. */
  record Response(int status, String body) {
    <T> T as(Class<T> type) throws IOException {
      return MAPPER.readValue(body, type);
    }

    <T> List<T> asListOf(Class<T> type) throws IOException {
      return MAPPER.readerForListOf(type).readValue(body);
    }
  }

  static Response get(String address, String path, String... headers)
      throws IOException, InterruptedException {
    return send(request(address, path, headers).GET());
  }

  static Response post(String address, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return send(request(address, path, headers).POST(BodyPublishers.ofString(body)));
  }

  static Response postJson(String address, String path, Object body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        request(address, path, headers).header("content-type", "application/json");
    return send(request.POST(BodyPublishers.ofString(MAPPER.writeValueAsString(body))));
  }

  private static HttpRequest.Builder request(String address, String path, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    return headers.length == 0 ? request : request.headers(headers);
  }

  private static Response send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    var response = CLIENT.send(request.build(), BodyHandlers.ofString());
    return new Response(response.statusCode(), response.body());
  }
}
