package io.cactusspring.jobs.model;

import io.cactusspring.core.model.Resources;
import java.util.Set;

/**
 * An executor as it announces itself to the entry hosts.
 *
 * @param id the executor's id
 * @param address host and port of its interface
 * @param service name of the service whose tasks it runs
 * @param zone its availability zone
 * @param draining whether it accepts no new tasks and will shut down
 * @param remainingMillis minimum time in milliseconds until a draining executor shuts down; -1 if
 *     unknown
 * @param capacity resources that its tasks can use at the same time
 * @param labels its kind and its rack
 * @param bootMillis Unix milliseconds of its start, which distinguishes boots under the same id
 * @since 0.2
 */
public record ExecutorInfo(
    String id,
    String address,
    String service,
    String zone,
    boolean draining,
    long remainingMillis,
    Resources capacity,
    Set<String> labels,
    long bootMillis) {
  public ExecutorInfo {
    labels = Set.copyOf(labels);
  }
}
