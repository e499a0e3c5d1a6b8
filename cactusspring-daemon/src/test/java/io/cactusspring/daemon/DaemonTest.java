package io.cactusspring.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.security.Keys;
import io.cactusspring.daemon.settings.Address;
import io.cactusspring.daemon.settings.BootstrapKey;
import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.PeerSettings;
import io.cactusspring.daemon.settings.SettingsField;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DaemonTest {
  private static final Path OPERATIONS_PAGE = Path.of("..", "docs", "OPERATIONS.md");
  private static final PeerSettings UNREACHABLE_PEER =
      new PeerSettings(
          "riga-b-1", new AvailabilityZone("riga-b"), "riga", Address.parse("127.0.0.1:1"));
  private static final String SALT = "00".repeat(16);
  private static final long WAIT_MILLIS = 20_000;

  /** Longer than the period of every timer that the daemon starts in these tests. */
  private static final long SETTLE_MILLIS = 1_500;

  private static final String FIRST_NOTE =
      """
      {"id":"first","operator":"boot","changes":[
        {"change":"add","item":{"kind":"zone","name":"riga-a","region":"riga","shards":1,
          "entryHosts":["riga-a-1"]}},
        {"change":"add","item":{"kind":"team","name":"counter","share":1,"maxRunning":100,
          "open":false}},
        {"change":"add","item":{"kind":"key","name":"shop","team":"counter","operator":false,
          "salt":"%s","hash":"%s"}}]}
      """
          .formatted(SALT, Keys.hash(SALT, "secret"));

  private final FakePlatform platform = new FakePlatform();
  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client = HttpClient.newHttpClient();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final List<Throwable> failures = new CopyOnWriteArrayList<>();
  private Daemon daemon;
  private String url;

  @BeforeEach
  void startDaemon() throws IOException {
    int port = freePort();
    url = "http://127.0.0.1:" + port;
    DaemonSettings settings = settings(port, new Address("127.0.0.1", 0));
    vertx.exceptionHandler(failures::add);
    daemon = new Daemon(vertx, settings, registry);
    daemon.start().await();
  }

  private DaemonSettings settings(int port, Address peerAddress) {
    Address platformAddress = Address.parse(platform.address());
    return DaemonSettings.builder()
        .name("riga-a-1")
        .zone(new AvailabilityZone("riga-a"))
        .region("riga")
        .callerAddress(new Address("127.0.0.1", port))
        .peerAddress(peerAddress)
        .platformLog(platformAddress)
        .hostList(platformAddress)
        .peers(List.of(UNREACHABLE_PEER))
        .bootstrapKey(new BootstrapKey("boot", SALT, Keys.hash(SALT, "secret")))
        .number(SettingsField.WORKER_SYNC_MILLIS, 100)
        .number(SettingsField.HOST_LIST_MILLIS, 100)
        .number(SettingsField.LOG_WAIT_MILLIS, 100)
        .build();
  }

  @AfterEach
  void stop() {
    daemon.drain().await();
    vertx.close().await();
    platform.close();
  }

  @Test
  void exportedMetricsMatchOperationsPage() throws Exception {
    applyFirstNote();
    await("metrics of teams", () -> registry.scrape().contains("cactusspring_team_running"));
    Set<String> exported =
        registry
            .scrape()
            .lines()
            .filter(l -> l.startsWith("# TYPE cactusspring_"))
            .map(l -> l.split(" ")[2])
            .filter(n -> !n.endsWith("_max"))
            .collect(Collectors.toCollection(TreeSet::new));
    Set<String> documented =
        Pattern.compile("^\\| `(cactusspring_[a-z_]+)`", Pattern.MULTILINE)
            .matcher(Files.readString(OPERATIONS_PAGE))
            .results()
            .map(m -> m.group(1))
            .collect(Collectors.toCollection(TreeSet::new));
    assertThat(documented).isEqualTo(exported);
  }

  @Test
  void startFailureReportsTheAddressInUse() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      Address inUse = new Address("127.0.0.1", other.getLocalPort());
      Daemon second =
          new Daemon(
              vertx,
              settings(freePort(), inUse),
              new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
      CompletionException e =
          assertThrows(
              CompletionException.class,
              () -> second.start().toCompletionStage().toCompletableFuture().join());
      assertThat(((ListenException) e.getCause()).address()).isEqualTo(inUse);
      second.drain().await();
    }
  }

  @Test
  void cancellationOfEndedSubmissionIsAccepted() throws Exception {
    applyFirstNote();
    submit("b1", 1);
    await("the end of b1", () -> submission("b1").at("/counts/SUCCEEDED").asInt() == 1);
    assertThat(call("POST", "/v1/submissions/b1/cancel", "shop", "").statusCode()).isEqualTo(202);
    assertThat(submission("b1").at("/counts/SUCCEEDED").asInt()).isEqualTo(1);
  }

  @Test
  void statusOfWaitingSubmissionGivesReasonAndPlacingHost() throws Exception {
    platform.keepTasksRunning();
    applyFirstNote();
    submit("b1", 6);
    await("four tasks running", () -> submission("b1").at("/counts/RUNNING").asInt() == 4);
    await("a wait reason", () -> !submission("b1").at("/waiting").isNull());
    JsonNode status = submission("b1");
    assertThat(status.at("/waiting").textValue()).startsWith("2 runs: no worker has enough free");
    assertThat(status.at("/placedBy").textValue()).isEqualTo("riga-a-1");
  }

  @Test
  void drainRequestStopsTheDaemonAndItsTimers() throws Exception {
    applyFirstNote();
    assertThat(call("POST", "/v1/drain", "boot", "").statusCode()).isEqualTo(202);
    daemon
        .stopped()
        .toCompletionStage()
        .toCompletableFuture()
        .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    Thread.sleep(SETTLE_MILLIS);
    assertThat(failures).isEmpty();
  }

  private void applyFirstNote() throws Exception {
    await("ready", () -> call("GET", "/health/ready", "boot", "").statusCode() == 200);
    assertThat(call("POST", "/v1/notes", "boot", FIRST_NOTE).statusCode()).isEqualTo(200);
  }

  private void submit(String id, int tasks) throws Exception {
    String body =
        """
        {"id":"%s","gang":false,"tasks":%d,"task":{"expectedMillis":1000,
          "resources":{"milliProcessors":1000,"memoryMib":64,"accelerators":0}}}
        """
            .formatted(id, tasks);
    await(
        "acceptance of " + id,
        () -> call("POST", "/v1/submissions", "shop", body).statusCode() == 202);
  }

  private JsonNode submission(String id) throws Exception {
    return new ObjectMapper().readTree(call("GET", "/v1/submissions/" + id, "shop", "").body());
  }

  private HttpResponse<String> call(String method, String path, String keyName, String body)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url + path))
            .header("authorization", "Bearer " + keyName + ".secret")
            .header("content-type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static void await(String what, Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!condition.call()) {
      assertWithMessage("waiting for " + what).that(System.nanoTime() - end).isLessThan(0L);
      Thread.sleep(20);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
