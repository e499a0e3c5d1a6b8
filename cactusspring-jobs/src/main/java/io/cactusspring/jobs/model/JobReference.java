package io.cactusspring.jobs.model;

import java.util.Optional;

/**
 * A job as a caller refers to it.
 *
 * @param id the job's id
 * @param queue name of the queue that the caller addressed
 * @param organisation the organisation whose jobs the caller may see; empty for all
 * @since 0.2
 */
public record JobReference(String id, String queue, Optional<String> organisation) {
  /** Returns the reference of a caller whose key belongs to an organisation. */
  public static JobReference of(String id, Queue queue, String organisation) {
    return new JobReference(
        id, queue.name(), queue.open() ? Optional.empty() : Optional.of(organisation));
  }

  /** Returns whether the caller may see a job of a queue and an organisation. */
  public boolean matches(String jobQueue, String jobOrganisation) {
    return queue.equals(jobQueue) && organisation.map(jobOrganisation::equals).orElse(true);
  }
}
