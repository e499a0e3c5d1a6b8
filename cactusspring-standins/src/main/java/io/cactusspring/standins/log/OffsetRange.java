package io.cactusspring.standins.log;

/** The earliest retained offset and the offset of the next append. */
record OffsetRange(long earliest, long next) {}
