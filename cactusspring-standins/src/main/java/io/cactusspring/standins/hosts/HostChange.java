package io.cactusspring.standins.hosts;

/**
 * The body of an admin call on one host.
 *
 * @param leaving marks the host as leaving or not
 * @param removed takes the host off the list
 */
record HostChange(Boolean leaving, Boolean removed) {
  HostTable applyTo(HostTable table, String name) {
    if (Boolean.TRUE.equals(removed)) {
      return table.without(name);
    }
    return leaving == null ? table : table.withLeaving(name, leaving);
  }
}
