package io.cactusspring.standins.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.TestClient;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LogStandInTest {
  private static final String ONE_RECORD = "{\"records\":[\"a\"]}";

  private Vertx vertx;
  private TestClient client;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx();
    client = new TestClient(new LogStandIn(vertx, 2).listen(new ListenAddress("127.0.0.1", 0)));
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  @Test
  void appendedRecordIsRead() throws Exception {
    assertThat(client.post("/log/records", ONE_RECORD).body())
        .isEqualTo("{\"firstOffset\":1,\"nextOffset\":2}");
    assertThat(client.get("/log/records?from=1&limit=10").body())
        .isEqualTo("{\"records\":[{\"offset\":1,\"data\":\"a\"}],\"earliest\":1,\"next\":2}");
  }

  @Test
  void readBeforeTheEarliestRecordReturnsGone() throws Exception {
    client.post("/log/records", "{\"records\":[\"a\",\"b\",\"c\"]}");
    HttpResponse<String> response = client.get("/log/records?from=1");
    assertThat(response.statusCode()).isEqualTo(410);
    assertThat(response.body()).isEqualTo("{\"earliest\":2,\"next\":4}");
  }

  @Test
  void appendTakesEffectAlthoughItsResponseIsDropped() throws Exception {
    client.post("/admin", "{\"loseNextAnswers\":1}");
    assertThrows(IOException.class, () -> client.post("/log/records", ONE_RECORD));
    assertThat(client.get("/log/records?from=1").body()).contains("\"data\":\"a\"");
    assertThat(client.post("/log/records", ONE_RECORD).statusCode()).isEqualTo(200);
  }

  @Test
  void refusingLogDoesNotAppend() throws Exception {
    client.post("/admin", "{\"outage\":\"refuse\"}");
    assertThat(client.post("/log/records", ONE_RECORD).statusCode()).isEqualTo(503);
    assertThat(client.get("/log/records?from=1&waitMillis=5000").statusCode()).isEqualTo(503);
    client.post("/admin", "{\"outage\":\"none\"}");
    assertThat(client.get("/log/records?from=1").body()).contains("\"next\":1");
  }

  @Test
  void silentLogDoesNotRespond() throws Exception {
    client.post("/admin", "{\"outage\":\"silent\"}");
    CompletableFuture<HttpResponse<String>> append = client.postAsync("/log/records", ONE_RECORD);
    assertThat(client.get("/admin").body()).contains("\"outage\":\"silent\"");
    assertThat(append.isDone()).isFalse();
    append.cancel(true);
  }

  @Test
  void pendingReadCompletesOnTheNextAppend() throws Exception {
    CompletableFuture<HttpResponse<String>> read =
        client.getAsync("/log/records?from=1&waitMillis=10000");
    client.post("/log/records", ONE_RECORD);
    assertThat(read.get(20, TimeUnit.SECONDS).body()).contains("\"data\":\"a\"");
  }

  @Test
  void malformedRequestsAreRejected() throws Exception {
    assertThat(client.post("/log/records", "{\"records\":[]}").statusCode()).isEqualTo(400);
    assertThat(client.post("/log/records", "{\"record\":\"a\"}").statusCode()).isEqualTo(400);
    assertThat(client.get("/log/records?from=x").statusCode()).isEqualTo(400);
  }
}
