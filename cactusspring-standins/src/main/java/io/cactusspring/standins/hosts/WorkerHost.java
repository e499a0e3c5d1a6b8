package io.cactusspring.standins.hosts;

/** A worker in the host list. */
record WorkerHost(
    String name, String zone, String rack, String address, Resources total, boolean leaving) {
  WorkerHost asLeaving(boolean value) {
    return new WorkerHost(name, zone, rack, address, total, value);
  }
}
