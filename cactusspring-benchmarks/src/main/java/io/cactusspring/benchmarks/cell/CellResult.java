package io.cactusspring.benchmarks.cell;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measurements of one simulation of a virtual cell.
 *
 * @param waitingMillis time from arrival to first start by class of work, in milliseconds
 * @param packing mean fraction of the scarcest resource in use while work waited
 * @param shareDistance largest relative deviation of a team's usage from its share while every team
 *     had waiting work
 * @param preemptions number of tasks checkpointed to free capacity for others
 * @param decideNanos wall-clock time spent in decisions
 * @param virtualMillis simulated time
 */
public record CellResult(
    Site site,
    Policy policy,
    Map<String, Histogram> waitingMillis,
    double packing,
    double shareDistance,
    int preemptions,
    int starts,
    long decideNanos,
    long virtualMillis) {}
