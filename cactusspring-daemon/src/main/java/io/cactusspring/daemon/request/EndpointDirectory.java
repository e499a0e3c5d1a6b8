package io.cactusspring.daemon.request;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.EndpointInfo;
import io.cactusspring.core.request.EndpointShare;
import io.cactusspring.daemon.http.CellView;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Calculates this entry host's share of each endpoint. */
final class EndpointDirectory {
  private final CellView cell;

  EndpointDirectory(CellView cell) {
    this.cell = cell;
  }

  List<EndpointShare> sharesOf(String service) {
    int hosts = cell.configuration().zones().stream().mapToInt(z -> z.entryHosts().size()).sum();
    return cell.endpoints(service).stream().map(e -> shareOf(e, hosts)).toList();
  }

  Set<String> namesOf(Collection<String> services) {
    return services.stream()
        .flatMap(s -> cell.endpoints(s).stream())
        .map(EndpointInfo::name)
        .collect(Collectors.toSet());
  }

  private EndpointShare shareOf(EndpointInfo e, int allHosts) {
    int sharing = Math.max(1, cell.entryHostsInZoneOf(e));
    int foreign = Math.max(0, allHosts - sharing);
    return EndpointShare.of(e, distance(e.zone()), sharing, foreign);
  }

  private EndpointShare.Distance distance(AvailabilityZone zone) {
    if (zone.equals(cell.zone())) {
      return EndpointShare.Distance.SAME_ZONE;
    }
    Optional<String> region = region(zone);
    boolean same = region.isPresent() && region.equals(region(cell.zone()));
    return same ? EndpointShare.Distance.SAME_REGION : EndpointShare.Distance.OTHER_REGION;
  }

  private Optional<String> region(AvailabilityZone zone) {
    Configuration c = cell.configuration();
    return c.zones().stream()
        .filter(z -> z.name().equals(zone.name()))
        .map(ConfigItem.Zone::region)
        .findFirst();
  }
}
