package io.cactusspring.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Forwards the connections of one host to the store, and disturbs them. */
final class LinkProxy {
  /** What happens to the bytes of the open and of new connections. */
  enum Mode {
    FORWARDED,
    DELAYED,
    /** Connections are closed, and new ones too. */
    RESET,
    CUT_TO_STORE,
    CUT_FROM_STORE,
    SILENT
  }

  private record Chunk(long dueNanos, Buffer bytes) {}

  private final Vertx vertx;
  private final NetClient client;
  private final String targetHost;
  private final int targetPort;
  private final Set<Connection> connections = new HashSet<>();
  private Mode mode = Mode.FORWARDED;
  private long delayMillis;
  private int port;

  LinkProxy(Vertx vertx, String target) {
    this.vertx = vertx;
    client = vertx.createNetClient();
    int colon = target.lastIndexOf(':');
    targetHost = target.substring(0, colon);
    targetPort = Integer.parseInt(target.substring(colon + 1));
  }

  Future<Void> listen() {
    return vertx
        .createNetServer()
        .connectHandler(this::accept)
        .listen(0, "127.0.0.1")
        .onSuccess(server -> port = server.actualPort())
        .mapEmpty();
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Forwards nothing on the open connections from now on, without closing them. */
  void silenceOpenConnections() {
    connections.forEach(c -> c.silent = true);
  }

  void set(Mode newMode, long newDelayMillis) {
    mode = newMode;
    delayMillis = newDelayMillis;
    // A connection that has lost bytes can't go on.
    Set.copyOf(connections).stream()
        .filter(c -> newMode == Mode.RESET || newMode == Mode.FORWARDED && c.incomplete)
        .forEach(Connection::close);
  }

  private void accept(NetSocket caller) {
    if (mode == Mode.RESET) {
      caller.close();
      return;
    }
    caller.pause();
    client
        .connect(targetPort, targetHost)
        .onComplete(store -> new Connection(caller, store).open(), problem -> caller.close());
  }

  private final class Connection {
    private final NetSocket caller;
    private final NetSocket store;
    private boolean incomplete;
    private boolean silent;

    Connection(NetSocket caller, NetSocket store) {
      this.caller = caller;
      this.store = store;
    }

    void open() {
      connections.add(this);
      new Direction(this, caller, store, Mode.CUT_TO_STORE).open();
      new Direction(this, store, caller, Mode.CUT_FROM_STORE).open();
      caller.resume();
    }

    void close() {
      connections.remove(this);
      caller.close();
      store.close();
    }
  }

  private final class Direction {
    private final Connection connection;
    private final NetSocket from;
    private final NetSocket to;
    private final Mode cut;
    private final Deque<Chunk> waiting = new ArrayDeque<>();

    Direction(Connection connection, NetSocket from, NetSocket to, Mode cut) {
      this.connection = connection;
      this.from = from;
      this.to = to;
      this.cut = cut;
    }

    void open() {
      from.handler(this::forward);
      from.exceptionHandler(problem -> connection.close());
      from.closeHandler(v -> connection.close());
    }

    private void forward(Buffer bytes) {
      if (connection.silent) {
        return;
      }
      if (mode == Mode.SILENT || mode == cut) {
        connection.incomplete = true;
      } else if (mode == Mode.DELAYED || !waiting.isEmpty()) {
        long delay = mode == Mode.DELAYED ? delayMillis : 0;
        waiting.add(new Chunk(System.nanoTime() + delay * 1_000_000, bytes));
        if (waiting.size() == 1) {
          sendLater();
        }
      } else {
        to.write(bytes);
      }
    }

    private void sendLater() {
      long nanos = waiting.element().dueNanos() - System.nanoTime();
      vertx.setTimer(
          Math.max(1, nanos / 1_000_000),
          id -> {
            to.write(waiting.remove().bytes());
            if (!waiting.isEmpty()) {
              sendLater();
            }
          });
    }
  }
}
