package io.cactusspring.benchmarks.cell;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What one run of a virtual cell measured.
 *
 * @param waitingMillis time from arrival to first start, by class
 * @param packing mean part of the scarcest resource in use while work waited
 * @param shareDistance largest relative distance of a team's part from its share while work waited
 * @param preemptions tasks checkpointed for others
 * @param decideNanos time spent in decisions
 * @param virtualMillis length of the run
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
