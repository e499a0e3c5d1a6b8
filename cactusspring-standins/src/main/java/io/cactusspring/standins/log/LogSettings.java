package io.cactusspring.standins.log;

import io.cactusspring.standins.http.Outage;

/**
 * The body of an admin call; an absent field leaves its switch as it is.
 *
 * @param outage how calls fail
 * @param loseNextAnswers the number of coming appends that take effect and get no answer
 * @param delayMillis how long a call is held before it takes effect
 * @param retain the number of records kept
 */
record LogSettings(Outage outage, Integer loseNextAnswers, Long delayMillis, Integer retain) {}
