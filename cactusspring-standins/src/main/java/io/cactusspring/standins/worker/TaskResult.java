package io.cactusspring.standins.worker;

/** How a task ended. */
enum TaskResult {
  SUCCEEDED,
  FAILED,
  STOPPED,
  CHECKPOINTED,
  LAPSED
}
