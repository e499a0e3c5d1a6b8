package io.cactusspring.daemon.http;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.EndpointInfo;
import java.util.List;
import java.util.Optional;

/**
 * The state of the cell that request handlers depend on. Implementations are thread-safe, and no
 * method blocks.
 *
 * @since 0.1
 */
public interface CellView {
  /** Configuration in force on this entry host. */
  Configuration configuration();

  /** Bootstrap operator key, valid only while the configuration has no operator key. */
  Optional<ConfigItem.Key> bootstrapKey();

  /** Maximum number of requests that this entry host may have in flight for a team. */
  int requestBudget(String team);

  /** Endpoints of a service, including those that are leaving. */
  List<EndpointInfo> endpoints(String service);

  /** Number of entry hosts in the zone of an endpoint; at least 1. */
  int entryHostsInZoneOf(EndpointInfo endpoint);

  /** Estimated number of requests from other entry hosts in flight at an endpoint. */
  int remoteInFlight(String endpoint);

  /** Zone of this entry host. */
  AvailabilityZone zone();

  /** Whether configuration and limits have been loaded, so that requests can be accepted. */
  boolean ready();

  /** Whether this entry host is shutting down and accepts no new requests. */
  boolean draining();
}
