package io.cactusspring.daemon.request;

import io.cactusspring.core.request.EndpointShare;
import io.cactusspring.core.request.RequestSettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Maintains one HTTP client per endpoint, so that connections are limited per endpoint. */
final class ExecutorClients {
  private static final String PATH = "/execute";
  private static final int CLEANER_PERIOD_MILLIS = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Vertx vertx;
  private final RequestSettings settings;
  private final Map<String, EndpointClient> entries = new ConcurrentHashMap<>();

  ExecutorClients(Vertx vertx, RequestSettings settings) {
    this.vertx = vertx;
    this.settings = settings;
  }

  /** Runs one attempt. The future never fails. Call it on an event loop. */
  Future<AttemptResult> execute(EndpointShare endpoint, AttemptSpec spec) {
    EndpointClient client = begin(endpoint);
    return new Attempt(vertx, spec, settings.maxAnswerBytes())
        .run(connect(client, endpoint))
        .onSuccess(r -> end(endpoint, client, r));
  }

  private static Future<HttpClientRequest> connect(EndpointClient client, EndpointShare endpoint) {
    try {
      return client.http().request(options(endpoint));
    } catch (RuntimeException e) {
      // The address is malformed or the client has been closed; nothing was sent.
      return Future.failedFuture(e);
    }
  }

  /** Closes the clients of all other endpoints once their attempts have ended. */
  void retain(Set<String> endpoints) {
    entries.keySet().stream().filter(n -> !endpoints.contains(n)).toList().forEach(this::remove);
  }

  void close() {
    entries.values().forEach(e -> e.http().close());
    entries.clear();
  }

  private void remove(String endpoint) {
    EndpointClient client = entries.remove(endpoint);
    if (client != null) {
      client.retire();
    }
  }

  /** Begins an attempt within the update of the map, so that the client is not retired before. */
  private EndpointClient begin(EndpointShare endpoint) {
    return entries.compute(
        endpoint.name(),
        (n, old) -> {
          if (old != null && old.matches(endpoint)) {
            return old.begin();
          }
          if (old != null) {
            old.retire();
          }
          return open(endpoint).begin();
        });
  }

  /**
   * Ends an attempt. Discards the client after a timeout, since its other idle connections may be
   * dead too.
   */
  private void end(EndpointShare endpoint, EndpointClient client, AttemptResult result) {
    boolean timedOut = result.equals(AttemptResult.timedOut());
    if (timedOut && entries.remove(endpoint.name(), client)) {
      client.retire();
    }
    client.end();
  }

  private EndpointClient open(EndpointShare endpoint) {
    long seconds = (settings.idleConnectionMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(settings.connectTimeoutMillis())
            .setKeepAliveTimeout((int) seconds)
            .setTcpKeepAlive(true);
    PoolOptions pool =
        new PoolOptions()
            .setHttp1MaxSize(endpoint.ownConnections())
            .setCleanerPeriod(CLEANER_PERIOD_MILLIS);
    return new EndpointClient(endpoint, vertx.createHttpClient(options, pool));
  }

  private static RequestOptions options(EndpointShare endpoint) {
    String address = endpoint.info().address();
    int colon = address.lastIndexOf(':');
    return new RequestOptions()
        .setMethod(HttpMethod.POST)
        .setHost(address.substring(0, colon))
        .setPort(Integer.parseInt(address.substring(colon + 1)))
        .setURI(PATH);
  }
}
