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
  /**
   * Sends a request for advice through another entry host, which uses its own call slot.
   *
   * @param address address of the other entry host
   * @return see {@link AdviceService#requestAdvice}
   */
  Future<Map<String, String>> requestAdvice(
      String address, StepId step, List<String> executors, long timeoutMillis);
}
