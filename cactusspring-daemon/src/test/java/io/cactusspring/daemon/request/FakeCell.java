package io.cactusspring.daemon.request;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.config.RevisionedItem;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.EndpointInfo;
import io.cactusspring.core.security.Keys;
import io.cactusspring.daemon.http.CellView;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Cell view with one zone, whose contents a test can change. */
final class FakeCell implements CellView {
  static final AvailabilityZone ZONE = new AvailabilityZone("riga-a");
  static final String SERVICE = "ordering";
  static final String COUNTER_KEY = "k1.s3cret";

  final Map<String, ConfigItem> items = new ConcurrentHashMap<>();
  final Map<String, Integer> budgets = new ConcurrentHashMap<>();
  final List<EndpointInfo> endpoints = new CopyOnWriteArrayList<>();
  volatile boolean ready = true;
  volatile boolean draining;

  FakeCell() {
    put(new ConfigItem.Zone("riga-a", "riga", 1, List.of("h1")));
    put(new ConfigItem.Service(SERVICE, "counter", 0, null));
    put(new ConfigItem.Team("counter", 4, 100, false));
    put(new ConfigItem.Team("walk-in", 1, 100, true));
    put(new ConfigItem.Key("k1", "counter", false, "0a", Keys.hash("0a", "s3cret")));
    put(new ConfigItem.Key("ops", null, true, "0b", Keys.hash("0b", "0ps")));
  }

  void put(ConfigItem item) {
    items.put(item.path(), item);
  }

  void addEndpoint(String name, int port) {
    addEndpoint(name, port, 8, false);
  }

  void addEndpoint(String name, int port, int slots, boolean leaving) {
    String address = "127.0.0.1:" + port;
    endpoints.removeIf(e -> e.name().equals(name));
    endpoints.add(new EndpointInfo(name, ZONE, SERVICE, address, slots, 60, leaving));
  }

  @Override
  public Configuration configuration() {
    Map<String, RevisionedItem> revisioned = new ConcurrentHashMap<>();
    items.forEach((p, i) -> revisioned.put(p, new RevisionedItem(i, 1, "n", "ops")));
    return Configuration.of(1, revisioned);
  }

  @Override
  public Optional<ConfigItem.Key> bootstrapKey() {
    return Optional.empty();
  }

  @Override
  public int requestBudget(String team) {
    return budgets.getOrDefault(team, 100);
  }

  @Override
  public List<EndpointInfo> endpoints(String service) {
    return service.equals(SERVICE) ? List.copyOf(endpoints) : List.of();
  }

  @Override
  public int entryHostsInZoneOf(EndpointInfo endpoint) {
    return 1;
  }

  @Override
  public int remoteInFlight(String endpoint) {
    return 0;
  }

  @Override
  public AvailabilityZone zone() {
    return ZONE;
  }

  @Override
  public boolean ready() {
    return ready;
  }

  @Override
  public boolean draining() {
    return draining;
  }
}
