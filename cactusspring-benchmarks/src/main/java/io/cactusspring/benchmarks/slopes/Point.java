package io.cactusspring.benchmarks.slopes;

/** One measurement: a size and its cost. */
record Point(double size, double cost) {}
