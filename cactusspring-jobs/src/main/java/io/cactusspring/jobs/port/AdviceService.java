package io.cactusspring.jobs.port;

import io.cactusspring.jobs.model.StepId;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/**
 * The service that knows which executors may run a step.
 *
 * @since 0.2
 */
public interface AdviceService {
  /**
   * Asks for tickets.
   *
   * @return a ticket for each executor that may run the step
   */
  Future<Map<String, String>> requestAdvice(
      StepId step, List<String> executors, long timeoutMillis);
}
