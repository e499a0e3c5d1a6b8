package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.port.StoreLimits;
import io.cactusspring.jobs.schedule.SchedulerSettings;

/**
 * Settings of an entry host; times in milliseconds.
 *
 * @param self this process and the address at which other entry hosts reach it
 * @param configurationBounds how old the configuration may be that a decision rests on
 * @param readyMillis age of the configuration above which the balancer should send callers
 *     elsewhere
 * @param store what the store accepts
 * @since 0.2
 */
public record HostSettings(
    HostIdentity self,
    SchedulerSettings scheduler,
    ClaimPolicy claims,
    ConfigurationBounds configurationBounds,
    long readyMillis,
    StoreLimits store) {}
