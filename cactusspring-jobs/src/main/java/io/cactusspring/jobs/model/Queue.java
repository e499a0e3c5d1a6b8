package io.cactusspring.jobs.model;

/**
 * A queue that jobs are submitted to, as the operators configured it.
 *
 * @param name the queue's name
 * @param callerHost host name in the requests of callers to this queue
 * @param pathPrefix prefix of the request paths that are routed to the queue
 * @param service name of the service whose executors run the tasks
 * @param priority scheduling priority; 0 is the highest
 * @param maxAttempts number of failed attempts of a task, or of all tasks of a gang, at which the
 *     job fails; 0 for no limit
 * @param stretch target duration of a job as a multiple of its critical path
 * @param targetLatencyMillis milliseconds that are added to that target duration
 * @param advice settings of advice calls; null if any executor of the service may run a step
 * @param open whether callers are accepted without an API key
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
  /** Returns whether a task can start only with a ticket from the advice service. */
  public boolean needsAdvice() {
    return advice != null;
  }
}
