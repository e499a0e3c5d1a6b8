package io.cactusspring.processtests;

import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;

/** The start or end of a task, as recorded in the history of a worker. */
record TaskEvent(String task, Kind event, String result, long atNanos) {
  enum Kind {
    START,
    END
  }

  RunId run() {
    return TaskId.parse(task).run();
  }

  boolean isStart() {
    return event == Kind.START;
  }
}
