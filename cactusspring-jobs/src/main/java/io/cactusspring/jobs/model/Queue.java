package io.cactusspring.jobs.model;

/**
 * A queue that jobs are submitted to, as the operators configured it.
 *
 * @param name the queue's name
 * @param callerHost the host name that callers address
 * @param pathPrefix the start of the paths that belong to the queue
 * @param service the service whose executors run the tasks
 * @param priority 0 comes first
 * @param maxAttempts failed attempts of a task after which the job has failed
 * @param stretch factor on the longest chain of work that a job may take
 * @param targetLatencyMillis time that a job may take beyond its stretched chain
 * @param advice what an advice call costs; null if any executor of the service may run a step
 * @param open whether callers need no key
 * @since 0.2
 */
public record Queue(
    String name,
    String callerHost,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetLatencyMillis,
    AdviceSettings advice,
    boolean open) {
  /** Returns whether tasks need a ticket of the advice service. */
  public boolean needsAdvice() {
    return advice != null;
  }
}
