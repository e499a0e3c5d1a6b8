package io.cactusspring.standins.worker;

/** Tells whether this call started the task; false when its id was seen before. */
record StartResponse(boolean started) {}
