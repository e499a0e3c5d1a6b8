package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobState;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The final states that this host has shown lately; a final state never changes. */
final class FinalStates {
  private static final int MAX_JOBS = 500;

  private final Map<JobReference, JobState> states =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobReference, JobState> eldest) {
          return size() > MAX_JOBS;
        }
      };

  Optional<JobState> find(JobReference job) {
    return Optional.ofNullable(states.get(job));
  }

  /** Remembers a state if it is final. */
  void add(JobReference job, JobState state) {
    if (state.isFinal()) {
      states.put(job, state);
    }
  }
}
