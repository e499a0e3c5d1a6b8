package io.cactusspring.benchmarks.speed;

import org.HdrHistogram.Histogram;

/**
 * Speed of placement at one cell size.
 *
 * @param running number of running tasks at the end
 * @param waiting number of waiting runs at the end
 * @param placementsPerSecond placements per second of time spent in the placer, on one core
 * @param decideNanos distribution of the time of one call of the placer for decisions
 */
public record SpeedResult(
    CellSize size,
    int running,
    int waiting,
    double placementsPerSecond,
    double nanosPerPlacement,
    Histogram decideNanos) {}
