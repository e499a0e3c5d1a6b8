package io.cactusspring.cli.client;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.PemTrustOptions;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

/** Sends a call to one host and waits for its response. */
final class Transport implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final Vertx vertx;
  private final HttpClient client;

  Transport(Optional<Path> authorities) {
    FileSystemOptions noCache =
        new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setFileSystemOptions(noCache));
    HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    authorities.ifPresent(
        f -> options.setTrustOptions(new PemTrustOptions().addCertPath(f.toString())));
    client = vertx.createHttpClient(options);
  }

  Response send(HostUrl host, Call call) throws ClientException {
    AtomicBoolean sent = new AtomicBoolean();
    Future<Response> response =
        client
            .request(options(host, call))
            .compose(
                r -> {
                  sent.set(true);
                  return exchange(r, host, call);
                });
    try {
      return response
          .toCompletionStage()
          .toCompletableFuture()
          .get(call.timeoutMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      throw failure(sent.get(), host, "no response within " + call.timeoutMillis() + " ms", e);
    } catch (ExecutionException e) {
      throw failure(sent.get(), host, String.valueOf(e.getCause().getMessage()), e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw failure(sent.get(), host, "interrupted", e);
    }
  }

  private static RequestOptions options(HostUrl host, Call call) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.valueOf(call.method().name()))
            .setHost(host.host())
            .setPort(host.port())
            .setSsl(host.tls())
            .setURI(call.path());
    call.headers().forEach(h -> options.addHeader(h.name(), h.value()));
    return options;
  }

  private static Future<Response> exchange(HttpClientRequest request, HostUrl host, Call call) {
    return request
        .send(Buffer.buffer(call.body()))
        .compose(response -> response.body().map(body -> toResponse(host, response, body)));
  }

  private static Response toResponse(HostUrl host, HttpClientResponse response, Buffer body) {
    return new Response(
        host,
        response.statusCode(),
        header(response, "x-request-id"),
        header(response, "x-executor"),
        header(response, "x-attempts"),
        body.getBytes());
  }

  private static String header(HttpClientResponse response, String name) {
    String value = response.getHeader(name);
    return value == null ? "" : value;
  }

  private static ClientException failure(
      boolean sent, HostUrl host, String problem, Throwable cause) {
    String message = host + ": " + problem;
    return sent
        ? ClientException.noResponse(message, cause)
        : ClientException.unreachable(message, cause);
  }

  @Override
  public void close() {
    try {
      vertx
          .close()
          .toCompletionStage()
          .toCompletableFuture()
          .get(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      System.getLogger(Transport.class.getName())
          .log(System.Logger.Level.DEBUG, "HTTP client did not close cleanly", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
