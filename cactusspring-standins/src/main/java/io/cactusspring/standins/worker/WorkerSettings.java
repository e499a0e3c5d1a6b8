package io.cactusspring.standins.worker;

/** Request body of {@code POST /admin}; an absent field leaves its setting unchanged. */
record WorkerSettings(Boolean failStarts, Long startDelayMillis) {}
