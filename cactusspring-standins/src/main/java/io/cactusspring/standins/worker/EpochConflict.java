package io.cactusspring.standins.worker;

/** Response body for a request whose epoch is too low. */
record EpochConflict(long highestEpoch) {}
