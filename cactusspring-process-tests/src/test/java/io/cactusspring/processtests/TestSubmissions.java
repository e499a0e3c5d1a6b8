package io.cactusspring.processtests;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.TaskSpec;

/** Creates submissions of the team {@code plans}. */
final class TestSubmissions {
  static final String KEY = "plans-key";

  private static final Resources SMALL = new Resources(500, 256, 0);

  private TestSubmissions() {}

  static Submission idempotent(String id, int tasks, long millis) {
    return submission(id, tasks, millis, true);
  }

  static Submission nonIdempotent(String id, int tasks, long millis) {
    return submission(id, tasks, millis, false);
  }

  private static Submission submission(String id, int tasks, long millis, boolean idempotent) {
    TaskSpec task = TaskSpec.builder(SMALL).expectedMillis(millis).idempotent(idempotent).build();
    return new Submission(id, "plans", false, tasks, task);
  }
}
