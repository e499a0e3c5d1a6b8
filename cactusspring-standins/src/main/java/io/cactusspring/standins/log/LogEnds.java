package io.cactusspring.standins.log;

/** The earliest offset kept and the offset of the next append. */
record LogEnds(long earliest, long next) {}
