package io.cactusspring.daemon.peers;

import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.cactusspring.daemon.port.CertificateReload;
import io.cactusspring.daemon.port.PeerConnectionOptions;
import io.cactusspring.daemon.settings.Address;
import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.protocol.Frames;
import io.cactusspring.protocol.PeerCodec;
import io.cactusspring.protocol.ProtocolException;
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
 * Connections to all other entry hosts. Each host sends on the connections that it opened and
 * receives on those that it accepted.
 *
 * @since 0.1
 */
public final class PeerMesh {
  private static final EventLog LOG = EventLog.of(PeerMesh.class);
  private static final long REPLY_TIMEOUT_MILLIS = 2_000;

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

  /** Creates the mesh without opening a port or a connection. */
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

  /** Starts accepting connections of peers. */
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

  /** Sends a heartbeat to every connected peer and reconnects to the others. */
  public void heartbeat() {
    Heartbeat shared = handler.heartbeat();
    links.values().forEach(l -> l.heartbeat(shared));
  }

  /** Requests retained records from a peer. Fails if no reply arrives in time. */
  public Future<RecordsReply> records(String peer, long fromOffset) {
    long id = nextId++;
    PeerMessage message = PeerMessage.recordsRequest(new RecordsRequest(id, fromOffset));
    return sendRequest(peer, id, message, recordReplies);
  }

  /** Requests that a peer appends records. Fails if no reply arrives in time. */
  public Future<AppendReply> append(String peer, List<String> records) {
    long id = nextId++;
    PeerMessage message = PeerMessage.appendRequest(new AppendRequest(id, records));
    return sendRequest(peer, id, message, appendReplies);
  }

  /** Closes all connections. */
  public Future<Void> close() {
    links.values().forEach(PeerLink::close);
    return server.close().compose(x -> client.close());
  }

  private <T> Future<T> sendRequest(
      String peer, long id, PeerMessage message, Map<Long, Promise<T>> pendingReplies) {
    PeerLink link = links.get(peer);
    if (link == null || !link.send(message)) {
      return Future.failedFuture("peer " + peer + " is not connected");
    }
    Promise<T> promise = Promise.promise();
    pendingReplies.put(id, promise);
    return promise
        .future()
        .timeout(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .onComplete(r -> pendingReplies.remove(id));
  }

  private void accept(NetSocket socket) {
    InboundConnection inbound = new InboundConnection(socket);
    socket.exceptionHandler(e -> {});
    Frames.read(
        socket,
        PeerCodec.MAX_FRAME_BYTES,
        frame -> decode(frame, socket, inbound),
        e -> refuse(socket, e.getMessage()));
  }

  private void decode(byte[] frame, NetSocket socket, InboundConnection inbound) {
    try {
      PeerMessage message = PeerCodec.decode(frame);
      context.runOnContext(x -> inbound.onMessage(message));
    } catch (ProtocolException e) {
      refuse(socket, e.getMessage());
    }
  }

  private static void refuse(NetSocket socket, String reason) {
    LOG.event(Event.PEER_REFUSED, socket.remoteAddress(), reason);
    socket.close();
  }

  /** Connection that was opened by a peer. */
  private final class InboundConnection {
    private final NetSocket socket;
    private Hello peer;

    InboundConnection(NetSocket socket) {
      this.socket = socket;
    }

    void onMessage(PeerMessage message) {
      if (peer == null) {
        onHello(message);
        return;
      }
      switch (message.getSetField()) {
        case HEARTBEAT -> onHeartbeat(message.getHeartbeat());
        case RECORDS_REQUEST ->
            link().send(PeerMessage.recordsReply(handler.records(message.getRecordsRequest())));
        case RECORDS_REPLY -> complete(recordReplies, message.getRecordsReply());
        case APPEND_REQUEST ->
            handler
                .append(message.getAppendRequest())
                .onSuccess(r -> link().send(PeerMessage.appendReply(r)));
        case APPEND_REPLY -> complete(appendReplies, message.getAppendReply());
        case HELLO -> refuse(socket, "hello sent twice");
      }
    }

    private void onHello(PeerMessage message) {
      if (!message.isSetHello()) {
        refuse(socket, "first message is not a hello");
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

    private void onHeartbeat(Heartbeat heartbeat) {
      long sentAt = link().onHeartbeat(peer.getIncarnation(), heartbeat);
      boolean promise =
          handler.onHeartbeat(peer.getName(), peer.getIncarnation(), heartbeat, sentAt);
      link().setPromise(promise);
    }

    private PeerLink link() {
      return links.get(peer.getName());
    }

    private void complete(Map<Long, Promise<RecordsReply>> pendingReplies, RecordsReply reply) {
      Promise<RecordsReply> promise = pendingReplies.remove(reply.getId());
      if (promise != null) {
        promise.tryComplete(reply);
      }
    }

    private void complete(Map<Long, Promise<AppendReply>> pendingReplies, AppendReply reply) {
      Promise<AppendReply> promise = pendingReplies.remove(reply.getId());
      if (promise != null) {
        promise.tryComplete(reply);
      }
    }
  }
}
