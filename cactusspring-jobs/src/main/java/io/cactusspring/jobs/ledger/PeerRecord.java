package io.cactusspring.jobs.ledger;

/**
 * Where an entry host can be reached by others.
 *
 * @param host name of the entry host
 * @param incarnation the process on that host
 * @param address host and port of its peer interface
 * @param milliProcessors its processing power in thousandths of a processor
 * @since 0.2
 */
public record PeerRecord(String host, String incarnation, String address, int milliProcessors) {}
