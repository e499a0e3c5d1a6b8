package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.PeerRecord;
import io.cactusspring.jobs.schedule.SchedulerSettings;

/**
 * Settings of an entry host; times in milliseconds.
 *
 * @param self this process and where its peers reach it
 * @param maxKeyConfigurationAgeMillis age of the configuration from which no key is trusted
 * @param staleMillis age of what was read from which nothing is said to be missing
 * @since 0.2
 */
public record HostSettings(
    PeerRecord self,
    SchedulerSettings scheduler,
    ClaimPolicy claims,
    long maxKeyConfigurationAgeMillis,
    long staleMillis) {}
