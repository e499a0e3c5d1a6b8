package io.cactusspring.standins.load;

/**
 * LatencyRecorder of one way, in microseconds.
 *
 * @since 0.1
 */
public record LatencySummary(
    long answered, long failed, long p50Micros, long p99Micros, long p999Micros) {}
