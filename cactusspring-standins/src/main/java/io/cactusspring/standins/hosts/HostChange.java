package io.cactusspring.standins.hosts;

/**
 * Request body of {@code POST /admin/hosts/:name}, which changes one host.
 *
 * @param leaving whether the host is leaving; null for no change
 * @param removed whether to remove the host from the list
 */
record HostChange(Boolean leaving, Boolean removed) {
  HostList applyTo(HostList hosts, String name) {
    if (Boolean.TRUE.equals(removed)) {
      return hosts.without(name);
    }
    return leaving == null ? hosts : hosts.withLeaving(name, leaving);
  }
}
