package io.cactusspring.standins.log;

/** The first offset of an appended batch and the next offset of the log after it. */
record AppendAnswer(long firstOffset, long nextOffset) {}
