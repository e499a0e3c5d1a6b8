package io.cactusspring.daemon.port;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.SettingsField;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.lang.ref.WeakReference;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ReadTimerTest {
  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  /**
   * Guards against a read timer that holds each completed request, with its body, until the read
   * timeout. The timer cannot be cancelled by an end handler on the response, because a router sets
   * that handler itself.
   */
  @Test
  @Timeout(30)
  void completedRequestIsNotRetainedUntilReadTimeout() throws Exception {
    DaemonSettings settings =
        PortSettings.builder().number(SettingsField.READ_TIMEOUT_MILLIS, 120_000).build();
    List<WeakReference<RoutingContext>> contexts = new CopyOnWriteArrayList<>();
    Router router = Router.router(vertx);
    router
        .route()
        .handler(
            ctx -> {
              contexts.add(new WeakReference<>(ctx));
              ctx.addEndHandler(r -> {});
              ctx.end();
            });
    HttpServer server =
        await(
            new CallerPort(vertx, settings, new SimpleMeterRegistry())
                .createServer(router)
                .listen(0, "127.0.0.1"));
    HttpClient client = vertx.createHttpClient();
    for (int i = 0; i < 3; i++) {
      await(get(client, server.actualPort()));
    }
    while (contexts.get(0).get() != null || contexts.get(1).get() != null) {
      System.gc();
      Thread.sleep(20);
    }
    assertThat(contexts).hasSize(3);
  }

  private static Future<Integer> get(HttpClient client, int port) {
    return client
        .request(HttpMethod.GET, port, "127.0.0.1", "/")
        .compose(r -> r.send().compose(a -> a.body().map(b -> a.statusCode())));
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }
}
