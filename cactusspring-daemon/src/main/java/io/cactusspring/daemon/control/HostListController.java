package io.cactusspring.daemon.control;

import io.cactusspring.core.model.EndpointInfo;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.daemon.platform.HostList;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Caches the platform's host list. While the platform is unreachable, the list last read stays in
 * use.
 *
 * @since 0.1
 */
public final class HostListController {
  private final HostList hostList;
  private volatile HostList.Hosts hosts = HostList.Hosts.NONE;
  private volatile boolean loaded;
  private volatile long version;

  public HostListController(HostList hostList) {
    this.hostList = hostList;
  }

  /** Reads the list once. The future succeeds even if the read fails. */
  public Future<Void> refresh() {
    return hostList.read().onSuccess(this::replaceHosts).<Void>mapEmpty().otherwiseEmpty();
  }

  private synchronized void replaceHosts(HostList.Hosts newHosts) {
    if (!newHosts.equals(hosts)) {
      hosts = newHosts;
      version++;
    }
    loaded = true;
  }

  /** Returns the number of changes of the list, so that callers can detect a change. */
  public long version() {
    return version;
  }

  /** Returns whether the list has been read since the process started. */
  public boolean loaded() {
    return loaded;
  }

  /** Returns all workers of the list last read. */
  public List<WorkerInfo> workers() {
    return hosts.workers();
  }

  /** Returns the workers of a shard, given the number of shards in its zone. */
  public List<WorkerInfo> workers(ShardId shard, int shardsOfZone) {
    return hosts.workers().stream()
        .filter(w -> w.zone().equals(shard.zone()))
        .filter(w -> shardIndex(w.name(), shardsOfZone) == shard.index())
        .toList();
  }

  /** Returns the endpoints of a service, including those that are leaving. */
  public List<EndpointInfo> endpoints(String service) {
    return hosts.endpoints().stream().filter(e -> e.service().equals(service)).toList();
  }

  private static int shardIndex(String worker, int shards) {
    CRC32 crc = new CRC32();
    crc.update(worker.getBytes(StandardCharsets.UTF_8));
    return (int) (crc.getValue() % shards);
  }
}
