package io.cactusspring.processtests;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Relays between the entry hosts, and between each of them and the platform's log, so that one can
 * be cut off from both while its workers still hear it.
 */
final class HostRelays implements AutoCloseable {
  private final Map<Integer, Relay> toLog = new TreeMap<>();
  private final Map<Route, Relay> toPeer = new TreeMap<>();

  /** A direction between two entry hosts. */
  private record Route(int from, int to) implements Comparable<Route> {
    @Override
    public int compareTo(Route other) {
      int byFrom = Integer.compare(from, other.from);
      return byFrom != 0 ? byFrom : Integer.compare(to, other.to);
    }
  }

  /** Opens the relays of a cell. */
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

  /** Returns where an entry host finds the log. */
  String logAddress(int host) {
    return toLog.get(host).address();
  }

  /** Returns where an entry host finds a peer. */
  String peerAddress(int from, int to) {
    return toPeer.get(new Route(from, to)).address();
  }

  /** Cuts an entry host off from the log and from its peers. */
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
