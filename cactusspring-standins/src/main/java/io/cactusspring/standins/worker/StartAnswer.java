package io.cactusspring.standins.worker;

/** Whether the request started the task; false if a task with this id was started before. */
record StartAnswer(boolean started) {}
