package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Amounts;

/** The body of a call that starts a task. */
record StartBody(
    long epoch,
    String task,
    long leaseMillis,
    Amounts resources,
    long expectedMillis,
    String payload) {
  StartBody {
    if (task == null || task.isEmpty()) {
      throw new IllegalArgumentException("task is missing; expected an id such as b1#0@1");
    }
    if (resources == null) {
      throw new IllegalArgumentException("resources is missing");
    }
  }
}
