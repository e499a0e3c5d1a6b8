package io.cactusspring.standins.worker;

/**
 * The start or end of a task.
 *
 * @param result how the task ended; null for a start
 * @param atNanos time on the machine's monotonic clock, which all processes of a machine share
 */
record HistoryEvent(String task, Kind event, TaskResult result, long atNanos) {
  enum Kind {
    START,
    END
  }
}
