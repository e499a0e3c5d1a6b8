package io.cactusspring.jobs.link;

import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.port.PeerLink;
import io.cactusspring.jobs.port.PeerNetwork;
import io.cactusspring.protocol.Frames;
import io.cactusspring.protocol.ProtocolException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.function.Function;

/**
 * Links between entry hosts over TCP: length-prefixed frames with one {@link PeerMessage} each. A
 * frame that cannot be decoded closes its link only.
 *
 * @since 0.2
 */
public final class VertxPeerNetwork implements PeerNetwork {
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Size of a frame; the largest message is a submission, which callers send in 256 KiB. */
  private static final int MAX_FRAME_BYTES = 1 << 20;

  private static final int MAX_QUEUED_BYTES = 4 << 20;

  private final JobLog log;
  private final NetClient client;
  private final NetServer server;
  private Function<PeerLink, PeerLink.Handler> acceptHandler = link -> null;

  public VertxPeerNetwork(Vertx vertx, JobLog log) {
    this.log = log;
    client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
  }

  /** Starts accepting links. */
  public Future<Void> listen(String ip, int port) {
    return server
        .connectHandler(socket -> attach(socket, acceptHandler))
        .listen(port, ip)
        .mapEmpty();
  }

  /** Returns the port on which links are accepted, which the system may have chosen. */
  public int port() {
    return server.actualPort();
  }

  @Override
  public void onAccept(Function<PeerLink, PeerLink.Handler> handler) {
    acceptHandler = handler;
  }

  @Override
  public Future<PeerLink> connect(String address, Function<PeerLink, PeerLink.Handler> handler) {
    int colon = address.lastIndexOf(':');
    if (colon < 0) {
      return Future.failedFuture(
          new IllegalArgumentException("address is \"" + address + "\"; expected host:port"));
    }
    return client
        .connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
        .map(socket -> attach(socket, handler))
        .recover(problem -> Future.failedFuture(translate(address, problem)));
  }

  private static Throwable translate(String address, Throwable problem) {
    boolean refused =
        problem instanceof ConnectException
            && String.valueOf(problem.getMessage()).contains("refused");
    return refused ? new NothingListensException(address) : problem;
  }

  private PeerLink attach(NetSocket socket, Function<PeerLink, PeerLink.Handler> newHandler) {
    SocketLink link = new SocketLink(socket);
    PeerLink.Handler handler = newHandler.apply(link);
    socket.setWriteQueueMaxSize(MAX_QUEUED_BYTES);
    // A broken connection is closed, which the close handler reports.
    socket.exceptionHandler(problem -> {});
    socket.closeHandler(v -> link.closed(handler));
    Frames.read(
        socket,
        MAX_FRAME_BYTES,
        frame -> receive(link, handler, frame),
        problem -> refuse(link, problem.getMessage()));
    return link;
  }

  private void receive(SocketLink link, PeerLink.Handler handler, byte[] frame) {
    try {
      handler.received(PeerMessageCodec.decode(frame));
    } catch (ProtocolException e) {
      refuse(link, e.getMessage());
    } catch (RuntimeException e) {
      refuse(link, "handling a message failed: " + e);
    }
  }

  private void refuse(SocketLink link, String reason) {
    log.event(
        JobEvent.LINK_REFUSED,
        "peer",
        String.valueOf(link.socket.remoteAddress()),
        "reason",
        reason);
    link.close();
  }

  private static final class SocketLink implements PeerLink {
    private final NetSocket socket;
    private boolean open = true;

    SocketLink(NetSocket socket) {
      this.socket = socket;
    }

    @Override
    public boolean send(PeerMessage message) {
      if (!open || socket.writeQueueFull()) {
        return false;
      }
      socket.write(Frames.encode(PeerMessageCodec.encode(message)));
      return true;
    }

    @Override
    public void close() {
      socket.close();
    }

    void closed(PeerLink.Handler handler) {
      if (open) {
        open = false;
        handler.closed();
      }
    }
  }
}
