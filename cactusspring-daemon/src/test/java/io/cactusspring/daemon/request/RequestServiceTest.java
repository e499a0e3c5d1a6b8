package io.cactusspring.daemon.request;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.request.RequestSettings;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.ext.web.Router;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class RequestServiceTest {
  private static final String PATH = "/v1/services/ordering/requests";

  record Answer(int status, String body, Map<String, String> headers) {
    JsonObject refusal() {
      return new JsonObject(body);
    }
  }

  private final Vertx vertx = Vertx.vertx();

  /** Held in a field, since Vert.x closes a client that is garbage-collected. */
  private final NetClient sockets = vertx.createNetClient();

  private final FakeCell cell = new FakeCell();
  private final MeterRegistry metrics = new SimpleMeterRegistry();
  private RequestService service;
  private HttpServer server;
  private HttpClient client;

  @BeforeEach
  void start() throws Exception {
    RequestSettings settings =
        RequestSettings.builder()
            .attemptTimeoutMillis(200)
            .maxQueuePerTeam(3)
            .maxHeldBytes(3 << 20)
            .build();
    service = new RequestService(vertx, settings, cell, metrics);
    Router router = Router.router(vertx);
    service.mount(router);
    server = await(vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1"));
    client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(50));
  }

  @AfterEach
  void stop() throws Exception {
    service.close();
    await(vertx.close());
  }

  @Test
  void callerGetsTheWholeAnswerToItsOwnRequest() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    Answer a = await(call("r1", "clippers?", Map.of()));
    assertThat(a.status()).isEqualTo(200);
    assertThat(a.body()).isEqualTo("clippers?");
    assertThat(a.headers()).containsEntry("x-request-id", "r1");
    assertThat(a.headers()).containsEntry("x-executor", "x1");
    assertThat(a.headers()).containsEntry("x-attempts", "1");
  }

  @Test
  void concurrentCallersGetTheirOwnAnswers() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    cell.addEndpoint("x2", new FakeExecutor(vertx).port());
    List<Future<Answer>> calls =
        IntStream.range(0, 16).mapToObj(i -> call("r" + i, "body" + i, Map.of())).toList();
    for (int i = 0; i < calls.size(); i++) {
      assertThat(await(calls.get(i)).body()).isEqualTo("body" + i);
    }
  }

  @Test
  void removedKeyIsRefusedAtOnce() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    assertThat(await(call("r1", "", Map.of())).status()).isEqualTo(200);
    cell.items.remove("key/k1");
    Answer a = await(call("r2", "", Map.of()));
    assertRefused(a, 401, "unknown-key", "NO");
  }

  @Test
  void openQueueNeedsNoKey() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    Map<String, String> headers = Map.of("authorization", "", "x-queue", "walk-in");
    assertThat(await(call("r1", "a", headers)).status()).isEqualTo(200);
    Map<String, String> closed = Map.of("authorization", "", "x-queue", "counter");
    assertRefused(await(call("r2", "a", closed)), 401, "missing-key", "NO");
  }

  @Test
  void unknownServiceIsRefused() throws Exception {
    Answer a = await(callService("nosuch", "r1", "", Map.of()));
    assertRefused(a, 404, "unknown-service", "NO");
  }

  @Test
  void malformedHeadersAreRefused() throws Exception {
    Answer deadline = await(call("r1", "", Map.of("x-deadline-millis", "soon")));
    assertRefused(deadline, 400, "bad-header", "NO");
    Answer idempotent = await(call("r1", "", Map.of("x-idempotent", "maybe")));
    assertRefused(idempotent, 400, "bad-header", "NO");
  }

  @Test
  void bodyAboveTheLimitIsRefused() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    Answer a = await(call("r1", "x".repeat((1 << 20) + 1), Map.of()));
    assertRefused(a, 413, "body-too-large", "NO");
  }

  @Test
  void serviceWithoutExecutorsIsRefusedAtOnce() throws Exception {
    assertRefused(await(call("r1", "", Map.of())), 503, "no-endpoint", "NO");
  }

  @Test
  void teamWithoutBudgetIsRefusedAtOnce() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    cell.budgets.put("counter", 0);
    Answer a = await(call("r1", "", Map.of()));
    assertRefused(a, 429, "over-limit", "NO");
    assertThat(a.headers()).containsKey("retry-after");
  }

  @Test
  void refusalForLackOfBudgetCountsAsDemand() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    cell.budgets.put("counter", 0);
    assertRefused(await(call("r1", "", Map.of())), 429, "over-limit", "NO");
    assertThat(service.waiting("counter")).isEqualTo(1);
  }

  @Test
  void requestThatDidNotRunIsRetriedOnAnotherExecutor() throws Exception {
    FakeExecutor full = new FakeExecutor(vertx).setBehaviour(FakeExecutor::notRun);
    FakeExecutor free = new FakeExecutor(vertx);
    cell.addEndpoint("x1", full.port());
    cell.addEndpoint("x2", free.port());
    for (int i = 0; i < 10; i++) {
      assertThat(await(call("r" + i, "", Map.of())).status()).isEqualTo(200);
    }
    assertThat(free.receivedRequestIds).hasSize(10);
  }

  @Test
  void requestsSucceedWhenOneExecutorRefusesConnections() throws Exception {
    HttpServer closedServer =
        await(vertx.createHttpServer().requestHandler(r -> {}).listen(0, "127.0.0.1"));
    int port = closedServer.actualPort();
    await(closedServer.close());
    cell.addEndpoint("x1", port);
    cell.addEndpoint("x2", new FakeExecutor(vertx).port());
    for (int i = 0; i < 10; i++) {
      assertThat(await(call("r" + i, "", Map.of())).status()).isEqualTo(200);
    }
  }

  @Test
  void nonIdempotentRequestIsNotRetriedAfterAFailure() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx).setBehaviour(FakeExecutor::fail);
    FakeExecutor x2 = new FakeExecutor(vertx).setBehaviour(FakeExecutor::fail);
    cell.addEndpoint("x1", x1.port());
    cell.addEndpoint("x2", x2.port());
    assertRefused(await(call("r1", "", Map.of())), 502, "endpoint-failed", "UNKNOWN");
    assertThat(x1.receivedRequestIds.size() + x2.receivedRequestIds.size()).isEqualTo(1);
  }

  @Test
  void timeoutLeavesTheOutcomeOfANonIdempotentRequestUnknown() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx).setBehaviour(FakeExecutor::neverAnswer);
    cell.addEndpoint("x1", x1.port());
    Answer a = await(call("r1", "", Map.of("x-deadline-millis", "300")));
    assertRefused(a, 504, "deadline", "UNKNOWN");
    assertThat(x1.receivedRequestIds).hasSize(1);
  }

  @Test
  void idempotentRequestIsRetriedOnANewConnectionAfterATimeout() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx);
    cell.addEndpoint("x1", x1.port());
    assertThat(await(call("r0", "", Map.of())).status()).isEqualTo(200);
    var silent = new AtomicReference<Object>();
    x1.setBehaviour(
        r -> {
          silent.compareAndSet(null, r.connection());
          if (r.connection() != silent.get()) {
            FakeExecutor.echo(r);
          }
        });
    Answer a = await(call("r1", "razors", Map.of("x-idempotent", "true")));
    assertThat(a.status()).isEqualTo(200);
    assertThat(a.body()).isEqualTo("razors");
    assertThat(a.headers()).containsEntry("x-attempts", "2");
    assertThat(metrics.get("cactusspring.retries").tag("reason", "timed-out").counter().count())
        .isEqualTo(1.0);
  }

  @Test
  void answerWithAnotherRequestIdIsNotDelivered() throws Exception {
    FakeExecutor x1 =
        new FakeExecutor(vertx)
            .setBehaviour(r -> r.response().putHeader("x-request-id", "other").end("theirs"));
    cell.addEndpoint("x1", x1.port());
    assertRefused(await(call("r1", "", Map.of())), 502, "endpoint-failed", "UNKNOWN");
  }

  @Test
  void truncatedAnswerIsNotDelivered() throws Exception {
    FakeExecutor x1 =
        new FakeExecutor(vertx)
            .setBehaviour(
                r -> {
                  r.response()
                      .putHeader("x-request-id", r.getHeader("x-request-id"))
                      .putHeader("content-length", "100")
                      .write("half")
                      .onComplete(w -> r.connection().close());
                });
    cell.addEndpoint("x1", x1.port());
    assertRefused(await(call("r1", "", Map.of())), 502, "endpoint-failed", "UNKNOWN");
  }

  @Test
  void answerWithoutContentLengthIsNotDelivered() throws Exception {
    FakeExecutor x1 =
        new FakeExecutor(vertx)
            .setBehaviour(
                r -> {
                  r.response().setChunked(true);
                  r.response().putHeader("x-request-id", r.getHeader("x-request-id")).end("part");
                });
    cell.addEndpoint("x1", x1.port());
    assertRefused(await(call("r1", "", Map.of())), 502, "endpoint-failed", "UNKNOWN");
  }

  @Test
  void leavingEndpointGetsNoNewRequests() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx);
    FakeExecutor x2 = new FakeExecutor(vertx);
    cell.addEndpoint("x1", x1.port(), 8, true);
    cell.addEndpoint("x2", x2.port());
    for (int i = 0; i < 10; i++) {
      assertThat(await(call("r" + i, "", Map.of())).status()).isEqualTo(200);
    }
    assertThat(x1.receivedRequestIds).isEmpty();
  }

  @Test
  void duplicateIdInFlightIsRefusedAsConflict() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx).setBehaviour(FakeExecutor::neverAnswer);
    cell.addEndpoint("x1", x1.port());
    Future<Answer> first = call("r1", "", Map.of("x-deadline-millis", "400"));
    awaitInFlight(1);
    assertRefused(await(call("r1", "", Map.of())), 409, "submission-conflict", "UNKNOWN");
    assertThat(await(first).status()).isEqualTo(504);
    assertThat(x1.receivedRequestIds).hasSize(1);
  }

  @Test
  void requestBeyondTheQueueLimitIsRefusedAtOnce() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx).setBehaviour(FakeExecutor::neverAnswer);
    cell.addEndpoint("x1", x1.port(), 1, false);
    Future<Answer> running = call("r0", "", Map.of("x-deadline-millis", "2000"));
    awaitInFlight(1);
    List<Future<Answer>> held =
        IntStream.range(1, 4)
            .mapToObj(i -> call("r" + i, "", Map.of("x-deadline-millis", "1000")))
            .toList();
    awaitWaiting(3);
    assertRefused(await(call("r9", "", Map.of())), 429, "queue-full", "NO");
    for (Future<Answer> f : held) {
      assertRefused(await(f), 504, "deadline", "NO");
    }
    assertRefused(await(running), 504, "deadline", "UNKNOWN");
    assertThat(x1.receivedRequestIds).hasSize(1);
  }

  @Test
  void bodiesBeyondTheMemoryLimitAreRefusedAtOnce() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx).setBehaviour(FakeExecutor::neverAnswer);
    cell.addEndpoint("x1", x1.port());
    String large = "x".repeat(1 << 20);
    List<Future<Answer>> held =
        IntStream.range(0, 3)
            .mapToObj(i -> call("r" + i, large, Map.of("x-deadline-millis", "1000")))
            .toList();
    awaitInFlight(3);
    assertRefused(await(call("r3", large, Map.of())), 429, "queue-full", "NO");
    for (Future<Answer> f : held) {
      assertThat(await(f).status()).isEqualTo(504);
    }
    x1.setBehaviour(FakeExecutor::echo);
    assertThat(await(call("r4", large, Map.of())).status()).isEqualTo(200);
  }

  @Test
  void drainWaitsForEveryAnswerAndAcceptsNoNewRequests() throws Exception {
    FakeExecutor x1 =
        new FakeExecutor(vertx).setBehaviour(r -> FakeExecutor.echoAfterMillis(vertx, r, 300));
    cell.addEndpoint("x1", x1.port());
    Future<Answer> slow = call("r1", "pomade", Map.of());
    awaitInFlight(1);
    cell.draining = true;
    Future<Void> drained = service.drain();
    assertThat(drained.isComplete()).isFalse();
    assertRefused(await(call("r2", "", Map.of())), 503, "draining", "NO");
    await(drained);
    assertThat(await(slow).body()).isEqualTo("pomade");
  }

  @Test
  void refusalReachesACallerThatStillSendsALargeBody() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    for (int i = 0; i < 20; i++) {
      Map<String, String> unknownKey = Map.of("authorization", "Bearer k1.wrong");
      Answer a = await(call("r" + i, "x".repeat(1 << 20), unknownKey));
      assertRefused(a, 401, "unknown-key", "NO");
    }
  }

  @Test
  void drainDoesNotWaitForACallerThatDisconnectsWhileSendingItsBody() throws Exception {
    cell.addEndpoint("x1", new FakeExecutor(vertx).port());
    NetSocket socket = await(sockets.connect(server.actualPort(), "127.0.0.1"));
    String head =
        "POST /v1/services/ordering/requests HTTP/1.1\r\nhost: a\r\n"
            + "authorization: Bearer k1.s3cret\r\ncontent-length: 100\r\n\r\nhalf";
    await(socket.write(head));
    while (service.openRequests() == 0) {
      Thread.sleep(5);
    }
    cell.draining = true;
    Future<Void> drained = service.drain();
    assertThat(drained.isComplete()).isFalse();
    await(socket.close());
    await(drained);
  }

  @Test
  void disconnectedCallerIsRemovedFromTheQueue() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx).setBehaviour(FakeExecutor::neverAnswer);
    cell.addEndpoint("x1", x1.port(), 1, false);
    Future<Answer> running = call("r1", "", Map.of("x-deadline-millis", "2000"));
    awaitInFlight(1);
    HttpClient disconnectingClient = vertx.createHttpClient();
    await(
        disconnectingClient
            .request(HttpMethod.POST, server.actualPort(), "127.0.0.1", PATH)
            .compose(r -> r.putHeader("authorization", "Bearer k1.s3cret").end()));
    awaitWaiting(1);
    await(disconnectingClient.close());
    while (service.waiting("counter") > 0) {
      Thread.sleep(5);
    }
    assertThat(await(running).status()).isEqualTo(504);
    assertThat(x1.receivedRequestIds).containsExactly("r1");
  }

  @Test
  void idleConnectionsAreClosed() throws Exception {
    FakeExecutor x1 = new FakeExecutor(vertx);
    cell.addEndpoint("x1", x1.port());
    assertThat(await(call("r1", "", Map.of())).status()).isEqualTo(200);
    assertThat(x1.connections.get()).isEqualTo(1);
    while (x1.connections.get() > 0) {
      Thread.sleep(20);
    }
    assertThat(await(call("r2", "", Map.of())).status()).isEqualTo(200);
  }

  @Test
  void requestInFlightAtARemovedEndpointCompletes() throws Exception {
    FakeExecutor x1 =
        new FakeExecutor(vertx).setBehaviour(r -> FakeExecutor.echoAfterMillis(vertx, r, 500));
    cell.addEndpoint("x1", x1.port());
    Future<Answer> slow = call("r1", "razors", Map.of());
    awaitInFlight(1);
    cell.endpoints.clear();
    cell.addEndpoint("x2", new FakeExecutor(vertx).port());
    assertThat(await(slow).body()).isEqualTo("razors");
  }

  private void awaitInFlight(int n) throws InterruptedException {
    while (service.inFlight("counter") < n) {
      Thread.sleep(5);
    }
  }

  private void awaitWaiting(int n) throws InterruptedException {
    while (service.waiting("counter") < n) {
      Thread.sleep(5);
    }
  }

  private static void assertRefused(Answer a, int status, String reason, String ran) {
    assertThat(a.status()).isEqualTo(status);
    assertThat(a.refusal().getString("reason")).isEqualTo(reason);
    assertThat(a.refusal().getString("ran")).isEqualTo(ran);
  }

  private Future<Answer> call(String id, String body, Map<String, String> headers) {
    return callService(FakeCell.SERVICE, id, body, headers);
  }

  private Future<Answer> callService(
      String name, String id, String body, Map<String, String> headers) {
    String path = "/v1/services/" + name + "/requests";
    return client
        .request(HttpMethod.POST, server.actualPort(), "127.0.0.1", path)
        .compose(r -> send(r, id, body, headers));
  }

  /** Runs on the request's event loop, so that no part of the answer is missed. */
  private static Future<Answer> send(
      HttpClientRequest request, String id, String body, Map<String, String> headers) {
    request.putHeader("x-request-id", id);
    request.putHeader("authorization", "Bearer " + FakeCell.COUNTER_KEY);
    headers.forEach(request::putHeader);
    if (headers.containsValue("")) {
      request.headers().remove("authorization");
    }
    return request
        .send(Buffer.buffer(body))
        .compose(r -> r.body().map(b -> new Answer(r.statusCode(), b.toString(), mapOf(r))));
  }

  private static Map<String, String> mapOf(HttpClientResponse response) {
    Map<String, String> headers = new HashMap<>();
    response.headers().forEach(headers::put);
    return headers;
  }

  private static <T> T await(Future<T> f) throws Exception {
    return f.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }
}
