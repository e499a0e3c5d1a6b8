package io.cactusspring.jobs.port;

import io.cactusspring.jobs.model.StepId;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/**
 * Calls to other entry hosts.
 *
 * @since 0.2
 */
public interface PeerClient {
  /** Lets another entry host ask the advice service in its own turn. */
  Future<Map<String, String>> requestAdvice(
      String address, StepId step, List<String> executors, long timeoutMillis);
}
