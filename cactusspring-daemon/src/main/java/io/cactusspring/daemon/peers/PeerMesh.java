package io.cactusspring.daemon.peers;

import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.cactusspring.daemon.port.CertificateReload;
import io.cactusspring.daemon.port.PeerConnectionOptions;
import io.cactusspring.daemon.settings.Address;
import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.protocol.gen.AppendReply;
import io.cactusspring.protocol.gen.AppendRequest;
import io.cactusspring.protocol.gen.Heartbeat;
import io.cactusspring.protocol.gen.Hello;
import io.cactusspring.protocol.gen.PeerMessage;
import io.cactusspring.protocol.gen.RecordsReply;
import io.cactusspring.protocol.gen.RecordsRequest;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Connections with all other entry hosts. Each host sends on connections that it opened and
 * receives on those that it accepted.
 *
 * @since 0.1
 */
public final class PeerMesh {
  private static final EventLog LOG = EventLog.of(PeerMesh.class);
  private static final long REPLY_MILLIS = 2_000;

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final Context context;
  private final PeerHandler handler;
  private final Hello self;
  private final NetServer server;
  private final NetClient client;
  private final Map<String, PeerLink> links = new TreeMap<>();
  private final Map<Long, Promise<RecordsReply>> recordReplies = new HashMap<>();
  private final Map<Long, Promise<AppendReply>> appendReplies = new HashMap<>();
  private long nextId = 1;

  /** Creates the mesh; nothing is opened before {@link #listen}. */
  public PeerMesh(
      Vertx vertx,
      Context context,
      MonotonicClock clock,
      Hello self,
      DaemonSettings settings,
      PeerHandler handler) {
    this.vertx = vertx;
    this.settings = settings;
    this.context = context;
    this.handler = handler;
    this.self = self;
    this.client = vertx.createNetClient(PeerConnectionOptions.clientOptions(settings));
    this.server = vertx.createNetServer(PeerConnectionOptions.serverOptions(settings));
    settings
        .peers()
        .forEach(p -> links.put(p.name(), new PeerLink(p, client, clock, PeerMessage.hello(self))));
  }

  /** Starts to accept peers' connections. */
  public Future<Void> listen(Address address) {
    return server
        .connectHandler(this::accept)
        .listen(address.port(), address.host())
        .onSuccess(s -> reloadCertificates())
        .mapEmpty();
  }

  private void reloadCertificates() {
    settings.peerTls().ifPresent(t -> CertificateReload.forPeers(vertx, t, server, client).start());
  }

  /** Sends a heartbeat to every peer. */
  public void heartbeat() {
    Heartbeat shared = handler.heartbeat();
    links.values().forEach(l -> l.heartbeat(shared));
  }

  /** Asks a peer for records that it has kept; fails when no reply comes in time. */
  public Future<RecordsReply> records(String peer, long fromOffset) {
    long id = nextId++;
    PeerMessage message = PeerMessage.recordsRequest(new RecordsRequest(id, fromOffset));
    return ask(peer, id, message, recordReplies);
  }

  /** Asks a peer to append records; fails when no reply comes in time. */
  public Future<AppendReply> append(String peer, List<String> records) {
    long id = nextId++;
    PeerMessage message = PeerMessage.appendRequest(new AppendRequest(id, records));
    return ask(peer, id, message, appendReplies);
  }

  /** Closes all connections. */
  public Future<Void> close() {
    links.values().forEach(PeerLink::close);
    return server.close().compose(x -> client.close());
  }

  private <T> Future<T> ask(
      String peer, long id, PeerMessage message, Map<Long, Promise<T>> waiting) {
    PeerLink link = links.get(peer);
    if (link == null || !link.send(message)) {
      return Future.failedFuture("peer " + peer + " is not connected");
    }
    Promise<T> promise = Promise.promise();
    waiting.put(id, promise);
    return promise
        .future()
        .timeout(REPLY_MILLIS, TimeUnit.MILLISECONDS)
        .onComplete(r -> waiting.remove(id));
  }

  private void accept(NetSocket socket) {
    Inbound inbound = new Inbound(socket);
    socket.exceptionHandler(e -> {});
    FrameParser.attach(
        socket,
        m -> context.runOnContext(x -> inbound.received(m)),
        e -> refuse(socket, e.getMessage()));
  }

  private static void refuse(NetSocket socket, String problem) {
    LOG.event(Event.PEER_REFUSED, socket.remoteAddress(), problem);
    socket.close();
  }

  /** A connection that a peer opened. */
  private final class Inbound {
    private final NetSocket socket;
    private Hello peer;

    Inbound(NetSocket socket) {
      this.socket = socket;
    }

    void received(PeerMessage message) {
      if (peer == null) {
        introduced(message);
        return;
      }
      switch (message.getSetField()) {
        case HEARTBEAT -> heard(message.getHeartbeat());
        case RECORDS_REQUEST ->
            link().send(PeerMessage.recordsReply(handler.records(message.getRecordsRequest())));
        case RECORDS_REPLY -> complete(recordReplies, message.getRecordsReply());
        case APPEND_REQUEST ->
            handler
                .append(message.getAppendRequest())
                .onSuccess(r -> link().send(PeerMessage.appendReply(r)));
        case APPEND_REPLY -> complete(appendReplies, message.getAppendReply());
        case HELLO -> refuse(socket, "second hello");
      }
    }

    private void introduced(PeerMessage message) {
      if (!message.isSetHello()) {
        refuse(socket, "no hello");
        return;
      }
      Hello hello = message.getHello();
      if (!hello.getCell().equals(self.getCell())) {
        refuse(socket, "cell is " + hello.getCell() + "; expected " + self.getCell());
        return;
      }
      if (!links.containsKey(hello.getName())) {
        refuse(socket, "unknown entry host " + hello.getName());
        return;
      }
      peer = hello;
      LOG.event(Event.PEER_CONNECTED, hello.getName(), hello.getIncarnation());
    }

    private void heard(Heartbeat heartbeat) {
      long sentAt = link().heard(peer.getIncarnation(), heartbeat);
      boolean promise = handler.heard(peer.getName(), peer.getIncarnation(), heartbeat, sentAt);
      link().promise(promise);
    }

    private PeerLink link() {
      return links.get(peer.getName());
    }

    private void complete(Map<Long, Promise<RecordsReply>> waiting, RecordsReply reply) {
      Promise<RecordsReply> promise = waiting.remove(reply.getId());
      if (promise != null) {
        promise.tryComplete(reply);
      }
    }

    private void complete(Map<Long, Promise<AppendReply>> waiting, AppendReply reply) {
      Promise<AppendReply> promise = waiting.remove(reply.getId());
      if (promise != null) {
        promise.tryComplete(reply);
      }
    }
  }
}
