package io.cactusspring.benchmarks.request;

import org.HdrHistogram.Histogram;

/**
 * What one run measured.
 *
 * @param latencyMicros time from the offer to the answer
 * @param answered part of the requests that were answered
 * @param attempts attempts for each request
 * @param decisionNanos time that one event took to decide
 */
public record RequestResult(
    Scenario scenario,
    RequestPolicy policy,
    Histogram latencyMicros,
    double answered,
    double attempts,
    Histogram decisionNanos) {}
