package io.cactusspring.standins.load;

/**
 * Latency percentiles of one path, in microseconds, with the numbers of successful and failed
 * requests.
 *
 * @since 0.1
 */
public record LatencySummary(
    long answered, long failed, long p50Micros, long p99Micros, long p999Micros) {}
