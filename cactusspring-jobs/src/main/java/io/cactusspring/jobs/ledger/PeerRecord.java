package io.cactusspring.jobs.ledger;

/**
 * The address and processing power of an entry host, for the other entry hosts.
 *
 * @param host name of the entry host
 * @param incarnation id of the process on that host
 * @param address host and port of its peer interface
 * @param milliProcessors processing power of the host in thousandths of a processor
 * @since 0.2
 */
public record PeerRecord(String host, String incarnation, String address, int milliProcessors) {}
