package io.cactusspring.daemon.platform;

import io.cactusspring.core.model.EndpointInfo;
import io.cactusspring.core.model.WorkerInfo;
import io.vertx.core.Future;
import java.util.List;

/**
 * The platform's list of live and leaving hosts. The list may be out of date.
 *
 * @since 0.1
 */
public interface HostList {
  /** Reads the list. The future fails with {@link PlatformException} if it cannot be read. */
  Future<Hosts> read();

  /** Contents of the list at the time of a read. */
  record Hosts(List<WorkerInfo> workers, List<EndpointInfo> endpoints) {
    public static final Hosts NONE = new Hosts(List.of(), List.of());

    public Hosts {
      workers = List.copyOf(workers);
      endpoints = List.copyOf(endpoints);
    }
  }
}
