package io.cactusspring.processtests;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Relays between the entry hosts, and between each of them and the platform's log. Blocking them
 * isolates an entry host from both while it still reaches its workers.
 */
final class HostRelays implements AutoCloseable {
  private final Map<Integer, Relay> toLog = new TreeMap<>();
  private final Map<Route, Relay> toPeer = new TreeMap<>();

  /** The connections that one entry host opens to another, by index. */
  private record Route(int from, int to) implements Comparable<Route> {
    @Override
    public int compareTo(Route other) {
      int byFrom = Integer.compare(from, other.from);
      return byFrom != 0 ? byFrom : Integer.compare(to, other.to);
    }
  }

  /** Opens relays for all entry hosts of a cell. */
  static HostRelays open(CellLayout layout) throws IOException {
    HostRelays relays = new HostRelays();
    for (int from = 0; from < layout.entryHosts(); from++) {
      relays.toLog.put(from, relayTo(layout.logAddress()));
      for (int to = 0; to < layout.entryHosts(); to++) {
        if (from != to) {
          relays.toPeer.put(new Route(from, to), relayTo(layout.peerAddress(to)));
        }
      }
    }
    return relays;
  }

  /** Returns the address at which an entry host connects to the log. */
  String logAddress(int host) {
    return toLog.get(host).address();
  }

  /** Returns the address at which an entry host connects to a peer. */
  String peerAddress(int from, int to) {
    return toPeer.get(new Route(from, to)).address();
  }

  /** Blocks all traffic between an entry host and the log or its peers. */
  void isolate(int host) {
    relaysOf(host).forEach(Relay::block);
  }

  void reconnect(int host) throws IOException {
    for (Relay relay : relaysOf(host)) {
      relay.unblock();
    }
  }

  @Override
  public void close() throws IOException {
    List<Relay> all = new ArrayList<>(toLog.values());
    all.addAll(toPeer.values());
    for (Relay relay : all) {
      relay.close();
    }
  }

  private List<Relay> relaysOf(int host) {
    Stream<Relay> peers =
        toPeer.entrySet().stream()
            .filter(e -> e.getKey().from() == host || e.getKey().to() == host)
            .map(Map.Entry::getValue);
    return Stream.concat(Stream.of(toLog.get(host)), peers).toList();
  }

  private static Relay relayTo(String address) throws IOException {
    Relay relay = new Relay();
    relay.forwardTo(Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    return relay;
  }
}
