package io.cactusspring.standins.worker;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.standins.hosts.Resources;
import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.TestClient;
import io.vertx.core.Vertx;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WorkerStandInTest {
  private static final String START =
      "{\"epoch\":7,\"task\":\"b#0@1\",\"leaseMillis\":60000,\"resources\":{\"milliProcessors\":1,"
          + "\"memoryMib\":1,\"accelerators\":0},\"expectedMillis\":0,\"payload\":\"\"}";

  private Vertx vertx;
  private TestClient client;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx();
    var options = new WorkerStandIn.WorkerOptions(1, new Resources(4_000, 4_096, 0), 0, 1);
    client =
        new TestClient(new WorkerStandIn(vertx, options).listen(new ListenAddress("127.0.0.1", 0)));
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  @Test
  void startedTaskIsReportedBySyncAndHistory() throws Exception {
    assertThat(client.post("/tasks", START).body()).isEqualTo("{\"started\":true}");
    String sync = client.post("/sync", "{\"epoch\":7,\"leaseMillis\":1000,\"full\":true}").body();
    assertThat(sync).contains("\"running\":[{\"task\":\"b#0@1\"");
    assertThat(client.get("/admin/history").body())
        .contains("{\"task\":\"b#0@1\",\"event\":\"START\",\"result\":null");
    assertThat(client.get("/admin/violations").body())
        .isEqualTo("{\"overcommits\":0,\"doubleRuns\":0}");
  }

  @Test
  void staleEpochResponseContainsTheHighestEpoch() throws Exception {
    client.post("/sync", "{\"epoch\":9,\"leaseMillis\":1000,\"full\":true}");
    HttpResponse<String> response = client.post("/tasks", START);
    assertThat(response.statusCode()).isEqualTo(409);
    assertThat(response.body()).isEqualTo("{\"highestEpoch\":9}");
  }

  @Test
  void workerWithFailStartsDoesNotStartTasks() throws Exception {
    client.post("/admin", "{\"failStarts\":true}");
    assertThat(client.post("/tasks", START).statusCode()).isEqualTo(500);
    client.post("/admin", "{\"failStarts\":false}");
    assertThat(client.post("/tasks", START).body()).isEqualTo("{\"started\":true}");
  }
}
