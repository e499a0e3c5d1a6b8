package io.cactusspring.daemon.request;

import io.cactusspring.core.request.EndpointShare;
import io.cactusspring.core.request.RequestSettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Maintains one HTTP client per endpoint, so that connections are limited per endpoint. */
final class ExecutorClients {
  private static final String PATH = "/execute";
  private static final int CLEANER_PERIOD_MILLIS = 500;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 120_000;

  private record Entry(String address, int connections, HttpClient client) {
    boolean matches(EndpointShare e) {
      return address.equals(e.info().address()) && connections == e.ownConnections();
    }
  }

  private final Vertx vertx;
  private final RequestSettings settings;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  ExecutorClients(Vertx vertx, RequestSettings settings) {
    this.vertx = vertx;
    this.settings = settings;
  }

  /** Runs one attempt. The future never fails. Call it on an event loop. */
  Future<AttemptResult> execute(EndpointShare endpoint, AttemptSpec spec) {
    Entry entry = entry(endpoint);
    return new Attempt(vertx, spec, settings.maxAnswerBytes())
        .run(connect(entry, endpoint))
        .onSuccess(r -> replaceAfterTimeout(endpoint, entry, r));
  }

  private static Future<HttpClientRequest> connect(Entry entry, EndpointShare endpoint) {
    try {
      return entry.client().request(options(endpoint));
    } catch (RuntimeException e) {
      // The address is malformed or the client has been closed; nothing was sent.
      return Future.failedFuture(e);
    }
  }

  /** Shuts down the clients of all other endpoints once their requests in flight have ended. */
  void retain(Set<String> endpoints) {
    entries.keySet().stream().filter(n -> !endpoints.contains(n)).toList().forEach(this::remove);
  }

  void close() {
    entries.values().forEach(e -> e.client().close());
    entries.clear();
  }

  private void remove(String endpoint) {
    Entry e = entries.remove(endpoint);
    if (e != null) {
      shutDown(e);
    }
  }

  private Entry entry(EndpointShare endpoint) {
    return entries.compute(
        endpoint.name(),
        (n, old) -> {
          if (old != null && old.matches(endpoint)) {
            return old;
          }
          if (old != null) {
            shutDown(old);
          }
          return open(endpoint);
        });
  }

  /**
   * Discards the client after an attempt timed out, since its other idle connections may be dead
   * too.
   */
  private void replaceAfterTimeout(EndpointShare endpoint, Entry entry, AttemptResult result) {
    boolean timedOut = result.equals(AttemptResult.timedOut());
    if (timedOut && entries.remove(endpoint.name(), entry)) {
      shutDown(entry);
    }
  }

  private void shutDown(Entry e) {
    e.client().shutdown(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private Entry open(EndpointShare endpoint) {
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
    HttpClient client = vertx.createHttpClient(options, pool);
    return new Entry(endpoint.info().address(), endpoint.ownConnections(), client);
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
