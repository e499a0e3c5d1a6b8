package io.cactusspring.standins.worker;

/** The body of an admin call; an absent field leaves its switch as it is. */
record WorkerSwitches(Boolean failStarts, Long startDelayMillis) {}
