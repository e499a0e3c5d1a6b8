package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.link.PeerMessage;
import io.cactusspring.jobs.link.PeerMessageCodec;
import io.cactusspring.jobs.port.PeerLink;
import io.cactusspring.jobs.port.PeerNetwork;
import io.cactusspring.protocol.ProtocolException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** The network between the simulated entry hosts; messages travel in their encoded form. */
final class FakeNetwork {
  private static final long LATENCY_MILLIS = 1;
  private static final long CONNECT_TIMEOUT_MILLIS = 400;
  private static final long RETRANSMISSION_MILLIS = 200;

  /** One process of a host. */
  private static final class Endpoint {
    private final String host;

    /** Runs tasks in the process, unless it has ended. */
    private final Consumer<Runnable> process;

    private Function<PeerLink, PeerLink.Handler> acceptHandler;
    private final List<Connection> connections = new ArrayList<>();

    Endpoint(String host, Consumer<Runnable> process) {
      this.host = host;
      this.process = process;
    }
  }

  /** One end of a link. */
  private final class Connection implements PeerLink {
    private final Endpoint owner;
    private final Deque<byte[]> undelivered = new ArrayDeque<>();
    private Connection other;
    private Handler handler;
    private boolean open = true;

    Connection(Endpoint owner) {
      this.owner = owner;
      owner.connections.add(this);
    }

    @Override
    public boolean send(PeerMessage message) {
      if (!open) {
        return false;
      }
      byte[] bytes = PeerMessageCodec.encode(message);
      time.after(
          LATENCY_MILLIS,
          () -> {
            other.undelivered.add(bytes);
            other.deliver();
          });
      return true;
    }

    /** Delivers what has arrived; messages that are held up by a cut arrive once it has ended. */
    private void deliver() {
      if (isCut(owner.host, other.owner.host)) {
        time.after(RETRANSMISSION_MILLIS, this::deliver);
        return;
      }
      while (!undelivered.isEmpty()) {
        byte[] bytes = undelivered.remove();
        owner.process.accept(
            () -> {
              if (open) {
                handler.received(decode(bytes));
              }
            });
      }
    }

    @Override
    public void close() {
      if (open) {
        closeLocally();
        time.after(LATENCY_MILLIS + closeDelayMillis.getAsLong(), other::closedByOther);
      }
    }

    private void closedByOther() {
      if (!isCut(owner.host, other.owner.host)) {
        owner.process.accept(
            () -> {
              if (open) {
                closeLocally();
              }
            });
      }
    }

    private void closeLocally() {
      open = false;
      owner.connections.remove(this);
      // Without a handler, the link was closed while its handler was being created.
      if (handler != null) {
        handler.closed();
      }
    }

    /** Ends this side without the knowledge of its process, which has ended. */
    private void abort() {
      open = false;
      time.after(LATENCY_MILLIS + closeDelayMillis.getAsLong(), other::closedByOther);
    }
  }

  private final VirtualTime time;
  private final Map<String, Endpoint> running = new HashMap<>();
  private final Set<String> cut = new HashSet<>();
  private LongSupplier closeDelayMillis = () -> 0;

  FakeNetwork(VirtualTime time) {
    this.time = time;
  }

  private static PeerMessage decode(byte[] bytes) {
    try {
      return PeerMessageCodec.decode(bytes);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }

  static String address(String host) {
    return host + ":70";
  }

  /** Adds the process that now runs on a host. */
  PeerNetwork start(String host, Consumer<Runnable> process) {
    Endpoint endpoint = new Endpoint(host, process);
    running.put(host, endpoint);
    return new HostNetwork(endpoint);
  }

  /** Ends the process on a host; its links are closed. */
  void kill(String host) {
    Endpoint endpoint = running.remove(host);
    if (endpoint != null) {
      List.copyOf(endpoint.connections).forEach(Connection::abort);
      endpoint.connections.clear();
    }
  }

  /** Closes all links of a host; new ones can be opened. */
  void reset(String host) {
    Endpoint endpoint = running.get(host);
    if (endpoint != null) {
      List.copyOf(endpoint.connections)
          .forEach(
              c -> {
                c.other.closedByOther();
                c.closedByOther();
              });
    }
  }

  /**
   * Sets by how many milliseconds the close of a link arrives later than what is sent on other
   * links.
   */
  void closeDelayMillis(LongSupplier millis) {
    closeDelayMillis = millis;
  }

  /** Sets whether messages between a host and all others are held up. */
  void cut(String host, boolean value) {
    if (value) {
      cut.add(host);
    } else {
      cut.remove(host);
    }
  }

  private boolean isCut(String host, String other) {
    return cut.contains(host) || cut.contains(other);
  }

  private final class HostNetwork implements PeerNetwork {
    private final Endpoint endpoint;

    HostNetwork(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    public void onAccept(Function<PeerLink, PeerLink.Handler> handler) {
      endpoint.acceptHandler = handler;
    }

    @Override
    public Future<PeerLink> connect(
        String address, Function<PeerLink, PeerLink.Handler> newHandler) {
      Promise<PeerLink> promise = Promise.promise();
      String target = address.substring(0, address.indexOf(':'));
      time.after(LATENCY_MILLIS, () -> connect(address, target, newHandler, promise));
      return promise.future();
    }

    private void connect(
        String address,
        String target,
        Function<PeerLink, PeerLink.Handler> newHandler,
        Promise<PeerLink> promise) {
      Endpoint remote = running.get(target);
      if (isCut(endpoint.host, target)) {
        time.after(
            CONNECT_TIMEOUT_MILLIS,
            () -> endpoint.process.accept(() -> promise.fail("connecting timed out")));
      } else if (remote == null) {
        endpoint.process.accept(() -> promise.fail(new NothingListensException(address)));
      } else {
        Connection local = new Connection(endpoint);
        Connection accepted = new Connection(remote);
        local.other = accepted;
        accepted.other = local;
        remote.process.accept(() -> accepted.handler = remote.acceptHandler.apply(accepted));
        endpoint.process.accept(
            () -> {
              local.handler = newHandler.apply(local);
              promise.complete(local);
            });
      }
    }
  }
}
