package io.cactusspring.standins.load;

import io.cactusspring.standins.http.HttpStatus;
import io.cactusspring.standins.http.StandInException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Sends requests alternately to an executor directly and through an entry host, so that both paths
 * are measured under the same conditions.
 *
 * @since 0.1
 */
public final class LoadComparison {
  private static final Buffer BODY = Buffer.buffer("{\"item\":\"clipper\"}");
  private static final long TIMEOUT_MILLIS = 20_000;
  private static final int WARM_UP_REQUESTS = 500;

  private final HttpClient client;
  private final LoadOptions options;
  private final LatencyRecorder direct = new LatencyRecorder();
  private final LatencyRecorder entry = new LatencyRecorder();
  private final AtomicInteger sent = new AtomicInteger();

  private LoadComparison(Vertx vertx, LoadOptions options) {
    this.options = options;
    client =
        vertx.createHttpClient(
            new HttpClientOptions().setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(options.concurrency()));
  }

  /**
   * Sends warm-up requests and then the measured load, and returns the latencies of both paths.
   *
   * @throws StandInException if the run is interrupted or aborted; a failed request is only counted
   */
  public static LoadReport run(Vertx vertx, LoadOptions options) throws StandInException {
    LoadOptions warmUp =
        new LoadOptions(
            options.direct(),
            options.entry(),
            options.key(),
            Math.max(options.concurrency(), WARM_UP_REQUESTS),
            options.concurrency());
    await(new LoadComparison(vertx, warmUp).sendAll());
    LoadComparison measured = new LoadComparison(vertx, options);
    await(measured.sendAll());
    return new LoadReport(measured.direct.summary(), measured.entry.summary());
  }

  private Future<?> sendAll() {
    return Future.all(IntStream.range(0, options.concurrency()).mapToObj(i -> sendNext()).toList());
  }

  private Future<Void> sendNext() {
    int number = sent.getAndIncrement();
    if (number >= options.requests()) {
      return Future.succeededFuture();
    }
    String id = "load-" + System.nanoTime() + "-" + number;
    return send(options.direct(), id + "-d", direct)
        .compose(done -> send(options.entry(), id + "-e", entry))
        .compose(done -> sendNext());
  }

  private Future<Void> send(String url, String id, LatencyRecorder recorder) {
    RequestOptions request =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setAbsoluteURI(url)
            .setTimeout(TIMEOUT_MILLIS)
            .putHeader("content-type", "application/octet-stream")
            .putHeader("x-request-id", id)
            .putHeader("x-idempotent", "true");
    if (options.key() != null) {
      request.putHeader("authorization", "Bearer " + options.key());
    }
    long start = System.nanoTime();
    return client
        .request(request)
        .compose(LoadComparison::statusOf)
        .otherwise(0)
        .map(
            status -> {
              recorder.record(System.nanoTime() - start, status == HttpStatus.OK);
              return null;
            });
  }

  private static Future<Integer> statusOf(HttpClientRequest request) {
    return request
        .send(BODY)
        .compose(response -> response.body().map(body -> response.statusCode()));
  }

  private static void await(Future<?> future) throws StandInException {
    try {
      future.toCompletionStage().toCompletableFuture().get();
    } catch (ExecutionException e) {
      throw new StandInException("load test failed", e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StandInException("load test interrupted", e);
    }
  }
}
