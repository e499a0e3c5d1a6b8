package io.cactusspring.benchmarks.request;

import org.HdrHistogram.Histogram;

/**
 * Measurements of one simulation.
 *
 * @param latencyMicros time from the offer to the answer
 * @param answered fraction of the requests that were answered
 * @param attempts mean number of attempts per request
 * @param decisionNanos wall-clock time of the decision on one event
 */
public record RequestResult(
    Scenario scenario,
    RequestPolicy policy,
    Histogram latencyMicros,
    double answered,
    double attempts,
    Histogram decisionNanos) {}
