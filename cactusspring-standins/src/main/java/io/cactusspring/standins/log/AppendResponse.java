package io.cactusspring.standins.log;

/** The first offset of an appended batch and the next offset of the log after it. */
record AppendResponse(long firstOffset, long nextOffset) {}
