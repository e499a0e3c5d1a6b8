package io.cactusspring.daemon;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.EndpointInfo;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.control.BudgetController;
import io.cactusspring.daemon.control.HostListController;
import io.cactusspring.daemon.control.LogController;
import io.cactusspring.daemon.control.PeerLoads;
import io.cactusspring.daemon.http.CellView;
import io.cactusspring.daemon.settings.DaemonSettings;
import java.util.List;
import java.util.Optional;

/** State of this entry host as read by the handlers of requests. */
final class HostView implements CellView {
  private final DaemonSettings settings;
  private final Cell cell;
  private final LogController log;
  private final HostListController hosts;
  private final BudgetController budgets;
  private final PeerLoads peerLoads;
  private final MonotonicClock clock;
  private volatile boolean draining;

  HostView(
      DaemonSettings settings,
      Cell cell,
      LogController log,
      HostListController hosts,
      BudgetController budgets,
      PeerLoads peerLoads,
      MonotonicClock clock) {
    this.settings = settings;
    this.cell = cell;
    this.log = log;
    this.hosts = hosts;
    this.budgets = budgets;
    this.peerLoads = peerLoads;
    this.clock = clock;
  }

  void drain() {
    draining = true;
  }

  @Override
  public Configuration configuration() {
    return cell.configuration();
  }

  @Override
  public Optional<ConfigItem.Key> bootstrapKey() {
    var key = settings.bootstrapKey();
    return Optional.of(new ConfigItem.Key(key.name(), null, true, key.salt(), key.hash()));
  }

  @Override
  public int requestBudget(String team) {
    return budgets.requestBudget(team);
  }

  @Override
  public List<EndpointInfo> endpoints(String service) {
    return hosts.endpoints(service);
  }

  @Override
  public int entryHostsInZoneOf(EndpointInfo endpoint) {
    return cell.configuration().zones().stream()
        .filter(z -> z.name().equals(endpoint.zone().name()))
        .mapToInt(z -> z.entryHosts().size())
        .findFirst()
        .orElse(1);
  }

  @Override
  public int remoteInFlight(String endpoint) {
    return peerLoads.inFlight(endpoint, clock.millis());
  }

  @Override
  public AvailabilityZone zone() {
    return settings.zone();
  }

  @Override
  public boolean ready() {
    return log.caughtUp() && hosts.loaded();
  }

  @Override
  public boolean draining() {
    return draining;
  }
}
