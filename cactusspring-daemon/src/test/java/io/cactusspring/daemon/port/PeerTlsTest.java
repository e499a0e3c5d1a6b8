package io.cactusspring.daemon.port;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.daemon.Daemon;
import io.cactusspring.daemon.settings.Address;
import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.PeerSettings;
import io.cactusspring.daemon.settings.SettingsField;
import io.cactusspring.daemon.settings.TlsSettings;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.pkitesting.X509Bundle;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerTlsTest {
  private static final long WAIT_MILLIS = 20_000;

  /** Long enough for several heartbeats and connection attempts. */
  private static final long SETTLE_MILLIS = 1_500;

  private static final Address UNREACHABLE_PLATFORM = Address.parse("127.0.0.1:1");

  @TempDir Path directory;
  private final Vertx vertx = Vertx.vertx();
  private final List<Daemon> daemons = new ArrayList<>();
  private final X509Bundle authority;

  PeerTlsTest() throws Exception {
    authority = Certificates.authority("cell");
  }

  @AfterEach
  void stop() {
    daemons.forEach(d -> d.drain().await());
    vertx.close().await();
  }

  @Test
  void entryHostsWithCertificatesOfOneAuthorityConnect() throws Exception {
    Address a = freeAddress();
    Address b = freeAddress();
    PrometheusMeterRegistry registryOfA = start("a", a, "b", b, authority);
    PrometheusMeterRegistry registryOfB = start("b", b, "a", a, authority);
    awaitHeartbeat(registryOfA, "b");
    awaitHeartbeat(registryOfB, "a");
  }

  @Test
  void entryHostsWithCertificatesOfDifferentAuthoritiesDoNotConnect() throws Exception {
    Address a = freeAddress();
    Address b = freeAddress();
    PrometheusMeterRegistry registryOfA = start("a", a, "b", b, authority);
    PrometheusMeterRegistry registryOfB = start("b", b, "a", a, Certificates.authority("other"));
    Thread.sleep(SETTLE_MILLIS);
    assertThat(hasHeartbeat(registryOfA, "b")).isFalse();
    assertThat(hasHeartbeat(registryOfB, "a")).isFalse();
  }

  private PrometheusMeterRegistry start(
      String name, Address own, String peer, Address peerAddress, X509Bundle signer)
      throws Exception {
    Path files = Files.createDirectory(directory.resolve(name));
    TlsSettings tls = Certificates.write(files, Certificates.host(signer), Optional.of(signer));
    DaemonSettings settings =
        PortSettings.builder()
            .name(name)
            .peerAddress(own)
            .platformLog(UNREACHABLE_PLATFORM)
            .hostList(UNREACHABLE_PLATFORM)
            .peers(
                List.of(
                    new PeerSettings(peer, new AvailabilityZone("riga-b"), "riga", peerAddress)))
            .peerTls(tls)
            .number(SettingsField.HEARTBEAT_MILLIS, 100)
            .build();
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Daemon daemon = new Daemon(vertx, settings, registry);
    daemons.add(daemon);
    daemon.start().await();
    return registry;
  }

  private static void awaitHeartbeat(PrometheusMeterRegistry registry, String peer)
      throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!hasHeartbeat(registry, peer)) {
      assertWithMessage("nanoseconds past the time limit for a heartbeat of " + peer)
          .that(System.nanoTime() - end)
          .isLessThan(0L);
      Thread.sleep(20);
    }
  }

  private static boolean hasHeartbeat(PrometheusMeterRegistry registry, String peer) {
    double age = registry.get("cactusspring.peer.age.seconds").tag("peer", peer).gauge().value();
    return !Double.isNaN(age);
  }

  private static Address freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new Address("127.0.0.1", socket.getLocalPort());
    }
  }
}
