package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.ZoneRecord;
import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.port.ExecutorClient;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.PeerNetwork;
import io.cactusspring.jobs.port.Timers;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * The external services that an entry host depends on.
 *
 * @param ownership the partition of the claims and heartbeats of owners
 * @param lanes the partitions to which the owner writes submissions and progress
 * @param inbox the partitions to which every host may write submissions and cancellations
 * @param operators the topic to which operators write the configuration
 * @param announcements the topic to which executors write announcements
 * @param readConfiguration decodes a record of the operators; empty if it is not a configuration
 * @param readZone decodes a record of the operators; empty if it does not concern a zone
 * @param readExecutor decodes an announcement; empty if it describes no usable executor
 * @since 0.2
 */
public record HostPorts(
    KeyedTopic ownership,
    List<KeyedTopic> lanes,
    List<KeyedTopic> inbox,
    KeyedTopic operators,
    KeyedTopic announcements,
    Function<Entry, Optional<SiteConfiguration>> readConfiguration,
    Function<Entry, Optional<ZoneRecord>> readZone,
    Function<Entry, Optional<ExecutorInfo>> readExecutor,
    ExecutorClient executors,
    AdviceService advice,
    PeerNetwork network,
    Timers timers) {
  public HostPorts {
    lanes = List.copyOf(lanes);
    inbox = List.copyOf(inbox);
  }
}
