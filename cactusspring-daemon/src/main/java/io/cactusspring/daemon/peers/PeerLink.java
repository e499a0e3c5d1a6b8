package io.cactusspring.daemon.peers;

import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.settings.PeerSettings;
import io.cactusspring.protocol.Frames;
import io.cactusspring.protocol.PeerCodec;
import io.cactusspring.protocol.gen.Heartbeat;
import io.cactusspring.protocol.gen.PeerMessage;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.TreeMap;

/**
 * This host's outgoing connection to one peer, with the state of the heartbeats received from it.
 *
 * <p>A connection whose heartbeats are no longer acknowledged is closed and reopened, so that a
 * dead connection is not kept. Confined to the control context.
 */
final class PeerLink {
  private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 1_500;
  private static final int MAX_UNACKNOWLEDGED = 4_096;
  private static final int MAX_QUEUED_BYTES = 4 << 20;

  final PeerSettings peer;
  private final NetClient client;
  private final MonotonicClock clock;
  private final Buffer hello;
  private final TreeMap<Long, Long> sentAtMillis = new TreeMap<>();
  private NetSocket socket;
  private boolean connecting;
  private long sequence;

  /** Time of the last acknowledgement, or of the connect if there was none since. */
  private long lastAcknowledgedAtMillis;

  private String peerIncarnation = "";
  private long receivedSequence;
  private boolean promise;

  PeerLink(PeerSettings peer, NetClient client, MonotonicClock clock, PeerMessage hello) {
    this.peer = peer;
    this.client = client;
    this.clock = clock;
    this.hello = Frames.encode(PeerCodec.encode(hello));
  }

  /** Sends a heartbeat if connected; otherwise starts to connect and sends nothing. */
  void heartbeat(Heartbeat shared) {
    long now = clock.millis();
    if (socket != null && now - lastAcknowledgedAtMillis > ACKNOWLEDGEMENT_TIMEOUT_MILLIS) {
      socket.close();
      socket = null;
    }
    if (socket == null) {
      connect();
      return;
    }
    sequence++;
    sentAtMillis.put(sequence, now);
    if (sentAtMillis.size() > MAX_UNACKNOWLEDGED) {
      sentAtMillis.pollFirstEntry();
    }
    Heartbeat own = new Heartbeat(shared);
    own.setSequence(sequence);
    own.setAcknowledges(receivedSequence);
    own.setPromise(promise);
    send(PeerMessage.heartbeat(own));
  }

  /** Sends a message. Returns false if there is no connection or its write queue is full. */
  boolean send(PeerMessage message) {
    if (socket == null) {
      return false;
    }
    if (socket.writeQueueFull()) {
      return false;
    }
    socket.write(Frames.encode(PeerCodec.encode(message)));
    return true;
  }

  /** Handles a received heartbeat. Returns when the one that it acknowledges was sent, or -1. */
  long onHeartbeat(String incarnation, Heartbeat heartbeat) {
    if (!incarnation.equals(peerIncarnation)) {
      peerIncarnation = incarnation;
      receivedSequence = 0;
    }
    receivedSequence = Math.max(receivedSequence, heartbeat.getSequence());
    Long sentAt = sentAtMillis.get(heartbeat.getAcknowledges());
    if (sentAt == null) {
      return -1;
    }
    lastAcknowledgedAtMillis = clock.millis();
    sentAtMillis.headMap(heartbeat.getAcknowledges()).clear();
    return sentAt;
  }

  /** Sets the promise sent with the acknowledgement of the heartbeat last received. */
  void setPromise(boolean given) {
    promise = given;
  }

  void close() {
    if (socket != null) {
      socket.close();
      socket = null;
    }
  }

  private void connect() {
    if (connecting) {
      return;
    }
    connecting = true;
    client
        .connect(peer.address().port(), peer.address().host())
        .onComplete(
            r -> {
              connecting = false;
              if (r.succeeded()) {
                connected(r.result());
              }
            });
  }

  private void connected(NetSocket connected) {
    socket = connected;
    lastAcknowledgedAtMillis = clock.millis();
    connected.setWriteQueueMaxSize(MAX_QUEUED_BYTES);
    connected.exceptionHandler(e -> {});
    connected.closeHandler(
        x -> {
          if (socket == connected) {
            socket = null;
          }
        });
    connected.write(hello);
  }
}
