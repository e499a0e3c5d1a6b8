package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.port.ExecutorClient;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.PeerClient;
import io.cactusspring.jobs.port.Timers;
import java.util.Optional;
import java.util.function.Function;

/**
 * The external services that an entry host depends on.
 *
 * @param ledger the topic in which the entry hosts store jobs and ownership
 * @param operators the topic to which operators write the configuration
 * @param announcements the topic to which executors write announcements
 * @param readConfiguration decodes a record of the operators; empty if it is not a configuration
 * @param readExecutor decodes an announcement; empty if it describes no usable executor
 * @since 0.2
 */
public record HostPorts(
    KeyedTopic ledger,
    KeyedTopic operators,
    KeyedTopic announcements,
    Function<Entry, Optional<SiteConfiguration>> readConfiguration,
    Function<Entry, Optional<ExecutorInfo>> readExecutor,
    ExecutorClient executors,
    AdviceService advice,
    PeerClient peers,
    Timers timers) {}
