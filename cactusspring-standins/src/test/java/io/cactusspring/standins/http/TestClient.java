package io.cactusspring.standins.http;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client for a stand-in that listens on a loopback port. */
public final class TestClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final String base;

  public TestClient(int port) {
    base = "http://127.0.0.1:" + port;
  }

  public HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return client.send(request(path).build(), BodyHandlers.ofString());
  }

  public HttpResponse<String> post(String path, String body, String... headers)
      throws IOException, InterruptedException {
    return client.send(postRequest(path, body, headers), BodyHandlers.ofString());
  }

  public CompletableFuture<HttpResponse<String>> postAsync(
      String path, String body, String... headers) {
    return client.sendAsync(postRequest(path, body, headers), BodyHandlers.ofString());
  }

  public CompletableFuture<HttpResponse<String>> getAsync(String path) {
    return client.sendAsync(request(path).build(), BodyHandlers.ofString());
  }

  private HttpRequest postRequest(String path, String body, String... headers) {
    HttpRequest.Builder builder = request(path).POST(BodyPublishers.ofString(body));
    return headers.length == 0 ? builder.build() : builder.headers(headers).build();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create(base + path)).timeout(TIMEOUT);
  }
}
