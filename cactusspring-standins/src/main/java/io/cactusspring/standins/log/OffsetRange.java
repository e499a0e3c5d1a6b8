package io.cactusspring.standins.log;

/** The earliest offset kept and the offset of the next append. */
record OffsetRange(long earliest, long next) {}
