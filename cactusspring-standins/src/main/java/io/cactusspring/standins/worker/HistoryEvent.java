package io.cactusspring.standins.worker;

/**
 * A start or an end of a task.
 *
 * @param result how it ended; null for a start
 * @param atNanos the machine's monotonic clock, which the processes of one machine share
 */
record HistoryEvent(String task, Kind event, TaskResult result, long atNanos) {
  enum Kind {
    START,
    END
  }
}
