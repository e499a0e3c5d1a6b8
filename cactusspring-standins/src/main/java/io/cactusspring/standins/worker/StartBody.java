package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Resources;

/** Request body that starts a task. */
record StartBody(
    long epoch,
    String task,
    long leaseMillis,
    Resources resources,
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
