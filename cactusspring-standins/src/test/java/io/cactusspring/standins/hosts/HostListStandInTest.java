package io.cactusspring.standins.hosts;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.TestClient;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HostListStandInTest {
  private static final String HOSTS =
      "{\"workers\":[{\"name\":\"w1\",\"zone\":\"riga-a\",\"rack\":\"r1\",\"address\":\"127.0.0.1:1\","
          + "\"total\":{\"milliProcessors\":1,\"memoryMib\":1,\"accelerators\":0},"
          + "\"leaving\":false}],\"endpoints\":[]}";

  private Vertx vertx;
  private TestClient client;

  @BeforeEach
  void start(@TempDir Path dir) throws Exception {
    vertx = Vertx.vertx();
    Path file = dir.resolve("hosts.json");
    Files.writeString(file, HOSTS);
    client =
        new TestClient(
            HostListStandIn.fromFile(vertx, file, 0).listen(new ListenAddress("127.0.0.1", 0)));
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  @Test
  void hostListIsServedInTheFormatOfTheFile() throws Exception {
    assertThat(client.get("/hosts").body()).isEqualTo(HOSTS);
  }

  @Test
  void leavingAndRemovedHostsAreReflectedInTheList() throws Exception {
    client.post("/admin/hosts/w1", "{\"leaving\":true}");
    assertThat(client.get("/hosts").body()).contains("\"leaving\":true");
    client.post("/admin/hosts/w1", "{\"removed\":true}");
    assertThat(client.get("/hosts").body()).isEqualTo("{\"workers\":[],\"endpoints\":[]}");
  }

  @Test
  void changeIsNotPublishedBeforeTheLag() throws Exception {
    client.post("/admin", "{\"lagMillis\":600000}");
    client.post("/admin/hosts/w1", "{\"removed\":true}");
    assertThat(client.get("/hosts").body()).isEqualTo(HOSTS);
  }

  @Test
  void changeOfUnknownHostReturnsNotFound() throws Exception {
    assertThat(client.post("/admin/hosts/w9", "{\"leaving\":true}").statusCode()).isEqualTo(404);
  }
}
