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
 * Everything that an entry host needs from outside.
 *
 * @param ledger the project's own topic, which all entry hosts write
 * @param operators the topic that operators write
 * @param announcements the topic that executors write
 * @param readConfiguration decodes a record of the operators; empty if it is no configuration
 * @param readExecutor decodes an announcement; empty if it names no executor to use
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
