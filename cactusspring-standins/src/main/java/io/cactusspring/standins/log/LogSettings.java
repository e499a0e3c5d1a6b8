package io.cactusspring.standins.log;

import io.cactusspring.standins.http.Outage;

/**
 * Request body of {@code POST /admin}; an absent field leaves its setting unchanged.
 *
 * @param outage how requests fail
 * @param loseNextAnswers the number of next appends that take effect but get no response
 * @param delayMillis how long a request is delayed before it is processed, in milliseconds
 * @param retain the number of records retained
 */
record LogSettings(Outage outage, Integer loseNextAnswers, Long delayMillis, Integer retain) {}
