package io.cactusspring.processtests;

import java.util.List;

/** A submission as an entry host returns it. */
record SubmissionView(String id, boolean cancelled, List<RunView> runs, String waiting) {

  /** A run of the submission. */
  record RunView(String run, String state, int attempt, String worker, String outcome) {}

  long withOutcome(String outcome) {
    return runs.stream().filter(r -> outcome.equals(r.outcome())).count();
  }

  boolean hasEnded() {
    return !runs.isEmpty() && runs.stream().allMatch(r -> r.state().equals("ENDED"));
  }
}
