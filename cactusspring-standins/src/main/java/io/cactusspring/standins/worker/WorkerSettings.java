package io.cactusspring.standins.worker;

/** The body of an admin call; an absent field leaves its switch as it is. */
record WorkerSettings(Boolean failStarts, Long startDelayMillis) {}
