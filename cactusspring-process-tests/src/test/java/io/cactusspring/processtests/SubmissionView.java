package io.cactusspring.processtests;

import java.util.List;

/** What an entry host tells about a submission. */
record SubmissionView(String id, boolean cancelled, List<RunView> runs, String waiting) {

  /** What it tells about one of its runs. */
  record RunView(String run, String state, int attempt, String worker, String outcome) {}

  long inState(String state) {
    return runs.stream().filter(r -> r.state().equals(state)).count();
  }

  boolean hasEnded() {
    return inState("PENDING") == 0 && inState("RUNNING") == 0;
  }
}
