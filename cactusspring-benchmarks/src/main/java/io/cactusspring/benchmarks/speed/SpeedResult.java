package io.cactusspring.benchmarks.speed;

import org.HdrHistogram.Histogram;

/**
 * Speed of placement at one size.
 *
 * @param running tasks that ran while it was measured
 * @param waiting runs that waited then
 * @param placementsPerSecond placements in the time that all calls took, on one core
 * @param decideNanos time of one call for decisions
 */
public record SpeedResult(
    CellSize size,
    int running,
    int waiting,
    double placementsPerSecond,
    double nanosPerPlacement,
    Histogram decideNanos) {}
