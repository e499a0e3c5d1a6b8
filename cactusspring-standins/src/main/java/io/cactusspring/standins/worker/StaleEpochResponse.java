package io.cactusspring.standins.worker;

/** The body of the answer to a call whose epoch is too low. */
record StaleEpochResponse(long highestEpoch) {}
