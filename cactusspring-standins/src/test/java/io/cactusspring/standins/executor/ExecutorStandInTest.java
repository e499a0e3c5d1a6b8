package io.cactusspring.standins.executor;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.TestClient;
import io.vertx.core.Vertx;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ExecutorStandInTest {
  private Vertx vertx;
  private TestClient client;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx();
    ExecutorOptions options = new ExecutorOptions("x1", 1, 1, 60, 0, 1);
    client =
        new TestClient(
            new ExecutorStandIn(vertx, options).listen(new ListenAddress("127.0.0.1", 0)));
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  @Test
  void responseCarriesTheRequestIdAndBody() throws Exception {
    HttpResponse<String> response = execute("r1", "clipper");
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("x-request-id")).hasValue("r1");
    assertThat(response.headers().firstValue("content-length")).isPresent();
    assertThat(response.body())
        .isEqualTo("{\"request\":\"r1\",\"executor\":\"x1\",\"echo\":\"clipper\"}");
  }

  @Test
  void fullExecutorRejectsRequestAsNotRun() throws Exception {
    client.post("/admin", "{\"slowMillis\":60000}");
    CompletableFuture<HttpResponse<String>> first = executeAsync("r1");
    awaitStats("\"executions\":1");
    HttpResponse<String> rejected = execute("r2", "");
    assertThat(rejected.statusCode()).isEqualTo(503);
    assertThat(rejected.headers().firstValue("x-not-run")).hasValue("true");
    assertThat(client.get("/admin/history").body())
        .isEqualTo("[{\"request\":\"r1\",\"attempt\":1}]");
    first.cancel(true);
  }

  @Test
  void leavingExecutorRejectsRequestAsNotRun() throws Exception {
    client.post("/admin", "{\"leaving\":true}");
    assertThat(execute("r1", "").headers().firstValue("x-not-run")).hasValue("true");
    assertThat(client.get("/admin/history").body()).isEqualTo("[]");
  }

  @Test
  void silentExecutorRunsRequestWithoutResponding() throws Exception {
    client.post("/admin", "{\"silent\":true}");
    CompletableFuture<HttpResponse<String>> first = executeAsync("r1");
    awaitStats("\"executions\":1");
    assertThat(first.isDone()).isFalse();
    first.cancel(true);
  }

  private HttpResponse<String> execute(String id, String body) throws Exception {
    return client.post("/execute", body, "x-request-id", id, "x-attempt", "1");
  }

  private CompletableFuture<HttpResponse<String>> executeAsync(String id) {
    return client.postAsync("/execute", "", "x-request-id", id);
  }

  private void awaitStats(String stats) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!client.get("/admin/stats").body().contains(stats)) {
      assertThat(System.nanoTime() - deadline).isLessThan(0L);
      Thread.sleep(10);
    }
  }
}
