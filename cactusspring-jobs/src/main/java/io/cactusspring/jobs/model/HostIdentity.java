package io.cactusspring.jobs.model;

/**
 * A process of an entry host, as it introduces itself to other entry hosts.
 *
 * @param host name of the entry host
 * @param incarnation id of the process on that host
 * @param address host and port at which other entry hosts reach it
 * @param milliProcessors processing power of the host in thousandths of a processor
 * @since 0.2
 */
public record HostIdentity(String host, String incarnation, String address, int milliProcessors) {}
