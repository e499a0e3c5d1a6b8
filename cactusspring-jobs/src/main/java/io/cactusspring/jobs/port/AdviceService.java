package io.cactusspring.jobs.port;

import io.cactusspring.jobs.model.StepId;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/**
 * The service that decides which executors may run a step.
 *
 * @since 0.2
 */
public interface AdviceService {
  /**
   * Requests tickets for a step.
   *
   * @param executors ids of the executors to choose from
   * @return the ticket by executor id, for each executor that may run the step; fails if the
   *     service does not answer with success within the timeout
   */
  Future<Map<String, String>> requestAdvice(
      StepId step, List<String> executors, long timeoutMillis);
}
