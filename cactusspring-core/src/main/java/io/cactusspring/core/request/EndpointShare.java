package io.cactusspring.core.request;

import io.cactusspring.core.model.EndpointInfo;

/**
 * An endpoint and the part of its capacity that is reserved for this entry host.
 *
 * @param distance distance from this entry host's zone
 * @param ownSlots slots that this entry host may always use; 0 for an endpoint of another zone
 * @param ownConnections maximum number of connections that this entry host keeps open to the
 *     endpoint
 * @since 0.1
 */
public record EndpointShare(
    EndpointInfo info, Distance distance, int ownSlots, int ownConnections) {
  /** Distance of an endpoint's zone from this entry host's zone, nearest first. */
  public enum Distance {
    SAME_ZONE,
    SAME_REGION,
    OTHER_REGION
  }

  private static final int REMOTE_CONNECTIONS_DIVISOR = 4;

  /**
   * Divides an endpoint's capacity among the entry hosts. A quarter of its connections is reserved
   * for entry hosts of other zones, if there are any. Each entry host gets at least one connection
   * and, in the endpoint's zone, at least one slot.
   *
   * @param zoneHosts number of entry hosts in the endpoint's zone
   * @param remoteHosts number of entry hosts in all other zones
   */
  public static EndpointShare of(
      EndpointInfo info, Distance distance, int zoneHosts, int remoteHosts) {
    int remoteConnections = remoteHosts == 0 ? 0 : info.connections() / REMOTE_CONNECTIONS_DIVISOR;
    if (distance == Distance.SAME_ZONE) {
      int slots = shareOf(info.slots(), zoneHosts);
      int connections = shareOf(info.connections() - remoteConnections, zoneHosts);
      return new EndpointShare(info, distance, slots, connections);
    }
    return new EndpointShare(info, distance, 0, shareOf(remoteConnections, remoteHosts));
  }

  public String name() {
    return info.name();
  }

  /** Returns a copy that accepts no new work. */
  EndpointShare asLeaving() {
    EndpointInfo left =
        new EndpointInfo(
            info.name(),
            info.zone(),
            info.service(),
            info.address(),
            info.slots(),
            info.connections(),
            true);
    return new EndpointShare(left, distance, ownSlots, ownConnections);
  }

  private static int shareOf(int total, int hosts) {
    return Math.max(1, total / Math.max(1, hosts));
  }
}
