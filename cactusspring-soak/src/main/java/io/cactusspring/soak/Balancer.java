package io.cactusspring.soak;

import io.cactusspring.platform.standin.CallerClient;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** The load balancer: probes hosts once a second and skips those that fail two probes in a row. */
final class Balancer {
  private static final long PROBE_MILLIS = 1_000;
  private static final int FAILED_PROBES = 2;

  private final List<HostProcess> hosts;
  private final CallerClient client;
  private final Random random;
  private final boolean keepsConnections;
  private final Map<HostProcess, Integer> failures = new HashMap<>();

  /**
   * Begins to probe the hosts.
   *
   * @param keepsConnections whether callers go on using a host that is stopping until it is gone
   */
  Balancer(
      Vertx vertx,
      List<HostProcess> hosts,
      CallerClient client,
      long seed,
      boolean keepsConnections) {
    this.hosts = hosts;
    this.client = client;
    random = new Random(seed);
    this.keepsConnections = keepsConnections;
    hosts.forEach(h -> failures.put(h, FAILED_PROBES));
    vertx.setPeriodic(PROBE_MILLIS, id -> hosts.forEach(this::probe));
  }

  private void probe(HostProcess host) {
    client
        .isReady(host.readinessAddress())
        .onSuccess(ready -> failures.merge(host, 1, (n, one) -> ready ? 0 : n + one));
  }

  private List<HostProcess> readyHosts() {
    return hosts.stream()
        .filter(h -> failures.get(h) < FAILED_PROBES || (keepsConnections && isGoing(h)))
        .toList();
  }

  private static boolean isGoing(HostProcess host) {
    return host.isStopping() && host.isAlive();
  }

  boolean areAllReady() {
    return readyHosts().size() == hosts.size();
  }

  Optional<HostProcess> pick() {
    List<HostProcess> ready = readyHosts();
    return ready.isEmpty()
        ? Optional.empty()
        : Optional.of(ready.get(random.nextInt(ready.size())));
  }
}
