package io.cactusspring.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client for calls with JSON bodies. When a call exceeds its timeout, its connection is closed
 * and not reused.
 *
 * @since 0.1
 */
public final class JsonClient {
  private static final int CONNECTIONS_PER_HOST = 4;
  private static final int IDLE_SECONDS = 20;
  private static final int CONNECT_MILLIS = 1_000;

  private final HttpClient client;
  private final ObjectMapper json =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  /** A response whose body has been read completely. */
  public record Response(int status, Buffer body) {}

  public JsonClient(Vertx vertx) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(CONNECT_MILLIS)
            .setKeepAliveTimeout(IDLE_SECONDS)
            .setDecompressionSupported(true);
    client =
        vertx.createHttpClient(
            options, new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_HOST).setEventLoopSize(1));
  }

  /** Sends a GET. The future fails with {@link PlatformException} if there is no response. */
  public Future<Response> get(String address, String path, long timeoutMillis) {
    return call(HttpMethod.GET, address, path, Buffer.buffer(), timeoutMillis);
  }

  /**
   * Sends a POST with a JSON body. The future fails with {@link PlatformException} if there is no
   * response.
   */
  public Future<Response> post(String address, String path, Object body, long timeoutMillis) {
    return call(HttpMethod.POST, address, path, encode(body), timeoutMillis);
  }

  /**
   * Decodes a JSON body.
   *
   * @throws PlatformException if the body cannot be decoded as the type
   */
  public <T> T decode(Buffer body, Class<T> type) throws PlatformException {
    try {
      return json.readValue(body.getBytes(), type);
    } catch (IOException e) {
      throw new PlatformException("response body is not a valid " + type.getSimpleName(), e);
    }
  }

  /** Closes all connections. */
  public Future<Void> close() {
    return client.close();
  }

  private Future<Response> call(
      HttpMethod method, String address, String path, Buffer body, long timeoutMillis) {
    int colon = address.lastIndexOf(':');
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.substring(0, colon))
            .setPort(Integer.parseInt(address.substring(colon + 1)))
            .setURI(path)
            .putHeader("content-type", "application/json")
            .setConnectTimeout(Math.min(timeoutMillis, CONNECT_MILLIS));
    return client
        .request(options)
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .compose(r -> exchange(r, body, timeoutMillis))
        .recover(e -> Future.failedFuture(failure(address, path, e)));
  }

  private static Future<Response> exchange(
      HttpClientRequest request, Buffer body, long timeoutMillis) {
    return request
        .send(body)
        .compose(JsonClient::readBody)
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .onFailure(e -> closeConnection(request));
  }

  private static void closeConnection(HttpClientRequest request) {
    request.reset();
    if (request.connection() != null) {
      request.connection().close();
    }
  }

  private static Future<Response> readBody(HttpClientResponse response) {
    return response.body().map(b -> new Response(response.statusCode(), b));
  }

  private static PlatformException failure(String address, String path, Throwable cause) {
    return new PlatformException("no response from " + address + path, cause);
  }

  private Buffer encode(Object body) {
    try {
      return Buffer.buffer(json.writeValueAsBytes(body));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("request body cannot be encoded as JSON: " + body, e);
    }
  }
}
