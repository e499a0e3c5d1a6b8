package io.cactusspring.standins.log;

import io.cactusspring.standins.http.Outage;

/** What the admin call of the log tells about it. */
record LogState(
    long earliest,
    long next,
    Outage outage,
    int loseNextAnswers,
    long delayMillis,
    long appends,
    long reads) {}
