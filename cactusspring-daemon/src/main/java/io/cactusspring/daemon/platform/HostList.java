package io.cactusspring.daemon.platform;

import io.cactusspring.core.model.EndpointInfo;
import io.cactusspring.core.model.WorkerInfo;
import io.vertx.core.Future;
import java.util.List;

/**
 * The platform's list of live and leaving hosts, which lags.
 *
 * @since 0.1
 */
public interface HostList {
  /** Reads the list; fails with {@link PlatformException} when it cannot be had. */
  Future<Hosts> read();

  /** The list at one moment. */
  record Hosts(List<WorkerInfo> workers, List<EndpointInfo> endpoints) {
    public static final Hosts NONE = new Hosts(List.of(), List.of());

    public Hosts {
      workers = List.copyOf(workers);
      endpoints = List.copyOf(endpoints);
    }
  }
}
