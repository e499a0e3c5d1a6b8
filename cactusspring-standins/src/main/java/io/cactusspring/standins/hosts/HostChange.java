package io.cactusspring.standins.hosts;

/**
 * The body of an admin call on one host.
 *
 * @param leaving marks the host as leaving or not
 * @param removed takes the host off the list
 */
record HostChange(Boolean leaving, Boolean removed) {
  HostList applyTo(HostList hosts, String name) {
    if (Boolean.TRUE.equals(removed)) {
      return hosts.without(name);
    }
    return leaving == null ? hosts : hosts.withLeaving(name, leaving);
  }
}
