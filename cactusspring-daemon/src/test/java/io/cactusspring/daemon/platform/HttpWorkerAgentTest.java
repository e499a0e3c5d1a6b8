package io.cactusspring.daemon.platform;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.shard.OwnerCommand;
import io.cactusspring.core.shard.TaskResult;
import io.cactusspring.core.shard.WorkerReport;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpWorkerAgentTest {
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final TaskId RUNNING = TaskId.parse("b#0@1");
  private static final TaskId MISSING = TaskId.parse("b#1@1");
  private static final String SHORT_RESPONSE =
      "{\"incarnation\":\"i1\",\"running\":[],\"missing\":[\"b#1@1\"],"
          + "\"ended\":[{\"task\":\"b#1@1\",\"result\":\"SUCCEEDED\"}]}";

  private final Vertx vertx = Vertx.vertx();
  private final JsonClient client = new JsonClient(vertx);

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  @Test
  void renewedTaskNotListedAsMissingIsRunning() throws Exception {
    WorkerReport report = ((SyncResult.Reported) sync(200, SHORT_RESPONSE)).report();
    assertThat(report.running()).containsExactly(new WorkerReport.Running(RUNNING, null, null));
    assertThat(report.ended())
        .containsExactly(new WorkerReport.Ended(MISSING, TaskResult.SUCCEEDED));
  }

  @Test
  void renewedTaskInFullListIsReportedOnce() throws Exception {
    String full =
        "{\"incarnation\":\"i1\",\"missing\":[],\"ended\":[],\"running\":["
            + "{\"task\":\"b#0@1\"},{\"task\":\"b#1@1\"}]}";
    WorkerReport report = ((SyncResult.Reported) sync(200, full)).report();
    assertThat(report.running().stream().map(WorkerReport.Running::task))
        .containsExactly(RUNNING, MISSING);
  }

  @Test
  void shortResponseWithoutMissingTasksFails() throws Exception {
    String response = "{\"incarnation\":\"i1\",\"running\":[],\"ended\":[]}";
    assertThat(sync(200, response)).isEqualTo(new SyncResult.Failed());
  }

  @Test
  void higherEpochAndMalformedResponseAreDistinguished() throws Exception {
    assertThat(sync(409, "{\"highestEpoch\":9}")).isEqualTo(new SyncResult.Fenced());
    assertThat(sync(200, "{")).isEqualTo(new SyncResult.Failed());
  }

  private SyncResult sync(int status, String response) throws Exception {
    HttpServer server =
        await(
            vertx
                .createHttpServer()
                .requestHandler(r -> r.response().setStatusCode(status).end(response))
                .listen(0, "127.0.0.1"));
    HttpWorkerAgent agent = new HttpWorkerAgent(client, 15_000, TIMEOUT_MILLIS);
    OwnerCommand.Sync sync =
        new OwnerCommand.Sync("w1", List.of(RUNNING, MISSING), List.of(), List.of(), List.of());
    String address = "127.0.0.1:" + server.actualPort();
    await(agent.sync(address, 7, sync)); // the first sync requests the full list
    return await(agent.sync(address, 7, sync));
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }
}
