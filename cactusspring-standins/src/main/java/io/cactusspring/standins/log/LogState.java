package io.cactusspring.standins.log;

import io.cactusspring.standins.http.Outage;

/** State of the log as returned by its admin endpoint. */
record LogState(
    long earliest,
    long next,
    Outage outage,
    int loseNextAnswers,
    long delayMillis,
    long appends,
    long reads) {}
