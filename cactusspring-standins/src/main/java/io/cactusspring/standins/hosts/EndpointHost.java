package io.cactusspring.standins.hosts;

/** An endpoint in the host list. */
record EndpointHost(
    String name,
    String zone,
    String service,
    String address,
    int slots,
    int connections,
    boolean leaving) {
  EndpointHost asLeaving(boolean value) {
    return new EndpointHost(name, zone, service, address, slots, connections, value);
  }
}
