package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.port.StoreLimits;
import io.cactusspring.jobs.schedule.SchedulerSettings;

/**
 * Settings of an entry host; times in milliseconds.
 *
 * @param self this process and the address at which other entry hosts reach it
 * @param maxKeyConfigurationAgeMillis age of the configuration above which no key is accepted
 * @param staleMillis age of the data above which nothing is reported as missing
 * @param store what the store accepts
 * @since 0.2
 */
public record HostSettings(
    HostIdentity self,
    SchedulerSettings scheduler,
    ClaimPolicy claims,
    long maxKeyConfigurationAgeMillis,
    long staleMillis,
    StoreLimits store) {}
