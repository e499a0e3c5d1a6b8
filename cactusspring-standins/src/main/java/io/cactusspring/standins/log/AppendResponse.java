package io.cactusspring.standins.log;

/** Tells where a batch landed: its first offset and the end of the log after it. */
record AppendResponse(long firstOffset, long nextOffset) {}
