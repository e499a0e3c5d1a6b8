package io.cactusspring.core.request;

import io.cactusspring.core.model.EndpointInfo;

/**
 * An endpoint and the part of it that is this entry host's own.
 *
 * @param distance how far it is
 * @param ownSlots slots that this entry host may always use; 0 in another zone
 * @param ownConnections connections that this entry host may hold open
 * @since 0.1
 */
public record EndpointShare(
    EndpointInfo info, Distance distance, int ownSlots, int ownConnections) {
  /** Nearness of an endpoint's zone. */
  public enum Distance {
    SAME_ZONE,
    SAME_REGION,
    OTHER_REGION
  }

  private static final int REMOTE_CONNECTIONS_DIVISOR = 4;

  /**
   * Divides an endpoint among the entry hosts. A quarter of its connections is kept for entry hosts
   * of other zones.
   *
   * @param zoneHosts entry hosts of the endpoint's zone
   * @param remoteHosts entry hosts of all other zones
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

  /** Returns a copy that takes no new work. */
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
