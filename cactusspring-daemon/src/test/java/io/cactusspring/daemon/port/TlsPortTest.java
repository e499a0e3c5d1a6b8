package io.cactusspring.daemon.port;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.settings.TlsSettings;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.pkitesting.X509Bundle;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.PemTrustOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TlsPortTest {
  private static final long WAIT_SECONDS = 20;

  @TempDir Path directory;
  @TempDir Path untrustedDirectory;
  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  @Test
  void callerThatTrustsTheAuthorityConnects() throws Exception {
    X509Bundle authority = Certificates.authority("cell");
    X509Bundle host = Certificates.host(authority);
    HttpServer server = listenForCallers(Certificates.write(directory, host, Optional.empty()));
    assertThat(presentedCertificate(server, authority)).isEqualTo(host.getCertificate());
  }

  @Test
  void callerThatTrustsAnotherAuthorityDoesNotConnect() throws Exception {
    X509Bundle host = Certificates.host(Certificates.authority("cell"));
    HttpServer server = listenForCallers(Certificates.write(directory, host, Optional.empty()));
    X509Bundle other = Certificates.authority("other");
    assertThrows(ExecutionException.class, () -> presentedCertificate(server, other));
  }

  @Test
  void replacedCertificateIsReloaded() throws Exception {
    X509Bundle authority = Certificates.authority("cell");
    TlsSettings tls = Certificates.write(directory, Certificates.host(authority), Optional.empty());
    HttpServer server = listenForCallers(tls);
    CertificateReload reload = CertificateReload.forCallers(vertx, tls, server);
    assertThat(await(reload.check())).isFalse();
    X509Bundle renewed = Certificates.host(authority);
    Certificates.write(directory, renewed, Optional.empty());
    assertThat(await(reload.check())).isTrue();
    assertThat(await(reload.check())).isFalse();
    assertThat(presentedCertificate(server, authority)).isEqualTo(renewed.getCertificate());
  }

  @Test
  void certificateIsNotReloadedBeforeItsKeyIsReplaced() throws Exception {
    X509Bundle authority = Certificates.authority("cell");
    X509Bundle host = Certificates.host(authority);
    TlsSettings tls = Certificates.write(directory, host, Optional.empty());
    HttpServer server = listenForCallers(tls);
    CertificateReload reload = CertificateReload.forCallers(vertx, tls, server);
    await(reload.check());
    X509Bundle renewed = Certificates.host(authority);
    Files.writeString(tls.certificate(), renewed.getCertificatePathPEM());
    assertThat(await(reload.check())).isFalse();
    assertThat(presentedCertificate(server, authority)).isEqualTo(host.getCertificate());
    Files.writeString(tls.key(), renewed.getPrivateKeyPEM());
    assertThat(await(reload.check())).isTrue();
    assertThat(presentedCertificate(server, authority)).isEqualTo(renewed.getCertificate());
  }

  @Test
  void peerWithCertificateOfSameAuthorityConnects() throws Exception {
    X509Bundle authority = Certificates.authority("cell");
    TlsSettings tls =
        Certificates.write(directory, Certificates.host(authority), Optional.of(authority));
    NetServer server = await(listenForPeers(tls));
    assertThat(reply(server, PeerConnectionOptions.clientOptions(settings(tls))))
        .isEqualTo("heard");
  }

  @Test
  void peerWithoutCertificateIsRejected() throws Exception {
    X509Bundle authority = Certificates.authority("cell");
    TlsSettings tls =
        Certificates.write(directory, Certificates.host(authority), Optional.of(authority));
    NetServer server = await(listenForPeers(tls));
    NetClientOptions withoutCertificate =
        new NetClientOptions()
            .setSsl(true)
            .setHostnameVerificationAlgorithm("")
            .setTrustOptions(trust(authority));
    assertThrows(ExecutionException.class, () -> reply(server, withoutCertificate));
  }

  @Test
  void peerWithCertificateOfAnotherAuthorityIsRejected() throws Exception {
    X509Bundle authority = Certificates.authority("cell");
    TlsSettings tls =
        Certificates.write(directory, Certificates.host(authority), Optional.of(authority));
    NetServer server = await(listenForPeers(tls));
    X509Bundle other = Certificates.authority("other");
    Certificates.write(untrustedDirectory, Certificates.host(other), Optional.of(authority));
    TlsSettings untrusted =
        new TlsSettings(
            untrustedDirectory.resolve("host.pem"),
            untrustedDirectory.resolve("host.key"),
            Optional.of(untrustedDirectory.resolve("authorities.pem")));
    assertThrows(
        ExecutionException.class,
        () -> reply(server, PeerConnectionOptions.clientOptions(settings(untrusted))));
  }

  @Test
  void plaintextConnectionToTlsPortIsRejected() throws Exception {
    X509Bundle authority = Certificates.authority("cell");
    TlsSettings tls =
        Certificates.write(directory, Certificates.host(authority), Optional.of(authority));
    NetServer server = await(listenForPeers(tls));
    assertThrows(ExecutionException.class, () -> reply(server, new NetClientOptions()));
  }

  private static DaemonSettings settings(TlsSettings peerTls) {
    return PortSettings.builder().peerTls(peerTls).build();
  }

  private HttpServer listenForCallers(TlsSettings tls) throws Exception {
    DaemonSettings settings = PortSettings.builder().callerTls(tls).build();
    return await(
        new CallerPort(vertx, settings, new SimpleMeterRegistry())
            .createServer(r -> r.response().end())
            .listen(0, "127.0.0.1"));
  }

  private Future<NetServer> listenForPeers(TlsSettings tls) {
    return vertx
        .createNetServer(PeerConnectionOptions.serverOptions(settings(tls)))
        .connectHandler(s -> s.handler(b -> s.write("heard")))
        .listen(0, "127.0.0.1");
  }

  /** Returns the certificate that the server presents to a client that trusts the authority. */
  private X509Certificate presentedCertificate(HttpServer server, X509Bundle authority)
      throws Exception {
    NetClientOptions options =
        new NetClientOptions()
            .setSsl(true)
            .setHostnameVerificationAlgorithm("HTTPS")
            .setTrustOptions(trust(authority));
    NetClient client = vertx.createNetClient(options);
    NetSocket socket = await(client.connect(server.actualPort(), "127.0.0.1"));
    X509Certificate found = (X509Certificate) socket.sslSession().getPeerCertificates()[0];
    await(socket.close());
    return found;
  }

  /** Sends data and returns the reply. Fails if the connection closes without a reply. */
  private String reply(NetServer server, NetClientOptions options) throws Exception {
    NetClient client = vertx.createNetClient(options);
    try {
      return await(
          client.connect(server.actualPort(), "127.0.0.1").compose(TlsPortTest::sendHello));
    } finally {
      // Using the client here keeps it reachable; Vert.x closes an unreachable client.
      await(client.close());
    }
  }

  /** Must run on the event loop of the socket, so that no event precedes the handlers. */
  private static Future<String> sendHello(NetSocket socket) {
    Promise<String> reply = Promise.promise();
    socket.handler(b -> reply.tryComplete(b.toString()));
    socket.exceptionHandler(reply::tryFail);
    socket.closeHandler(x -> reply.tryFail("closed"));
    socket.write("hello");
    return reply.future();
  }

  private static PemTrustOptions trust(X509Bundle authority) throws Exception {
    return new PemTrustOptions().addCertValue(Buffer.buffer(authority.getCertificatePEM()));
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
