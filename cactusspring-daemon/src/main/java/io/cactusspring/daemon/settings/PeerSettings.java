package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.model.AvailabilityZone;

/**
 * Another entry host of the cell.
 *
 * @param address address on which the host accepts connections of its peers
 * @since 0.1
 */
public record PeerSettings(String name, AvailabilityZone zone, String region, Address address) {
  /**
   * @throws IllegalArgumentException if a name is malformed or a value is missing
   */
  public PeerSettings {
    Arguments.checkName("peer name", name);
    Arguments.checkPresent("peer zone", zone);
    Arguments.checkName("peer region", region);
    Arguments.checkPresent("peer address", address);
  }
}
