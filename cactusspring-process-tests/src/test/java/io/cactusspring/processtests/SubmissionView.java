package io.cactusspring.processtests;

import java.util.List;

/** What an entry host tells about a submission. */
record SubmissionView(String id, boolean cancelled, List<RunView> runs, String waiting) {

  /** What it tells about one of its runs. */
  record RunView(String run, String state, int attempt, String worker, String outcome) {}

  long withOutcome(String outcome) {
    return runs.stream().filter(r -> outcome.equals(r.outcome())).count();
  }

  boolean hasEnded() {
    return !runs.isEmpty() && runs.stream().allMatch(r -> r.state().equals("ENDED"));
  }
}
