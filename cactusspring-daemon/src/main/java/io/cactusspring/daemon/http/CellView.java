package io.cactusspring.daemon.http;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.EndpointInfo;
import java.util.List;
import java.util.Optional;

/**
 * What the handlers of requests need to know of the cell. Safe for use by several threads; no
 * method blocks.
 *
 * @since 0.1
 */
public interface CellView {
  /** Configuration in force on this entry host. */
  Configuration configuration();

  /** Operator's key that holds only while the configuration has none. */
  Optional<ConfigItem.Key> bootstrapKey();

  /** Requests that this entry host may have in flight for a team. */
  int requestBudget(String team);

  /** Endpoints of a service, those that are leaving included. */
  List<EndpointInfo> endpoints(String service);

  /** Number of entry hosts in the zone of an endpoint; at least 1. */
  int entryHostsSharing(EndpointInfo endpoint);

  /** Hint: requests of other entry hosts in flight at an endpoint. */
  int remoteInFlight(String endpoint);

  /** Zone of this entry host. */
  AvailabilityZone zone();

  /** Whether configuration and limits are known, so that requests can be taken. */
  boolean ready();

  /** Whether this entry host is shutting down and takes no new requests. */
  boolean draining();
}
