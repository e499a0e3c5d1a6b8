package io.cactusspring.benchmarks;

import io.cactusspring.core.request.RequestSettings;

/**
 * What is simulated.
 *
 * @param load part of the executors' slots that the offered requests would fill
 * @param slowFactor by how much service takes longer in the second quarter of the time
 * @param failing part of the executions that end without an answer in the second quarter
 */
record RequestScenario(
    long seed,
    Routing routing,
    RequestSettings settings,
    double load,
    double slowFactor,
    double failing,
    long deadlineMillis,
    long millis) {
  static RequestScenario steady(long seed, double load, long millis) {
    RequestSettings settings = RequestSettings.builder().build();
    return new RequestScenario(seed, Routing.LEAST_LOADED, settings, load, 1, 0, 1_000, millis);
  }

  static RequestScenario slowdown(long seed, double load, long millis) {
    RequestSettings settings = RequestSettings.builder().attemptTimeoutMillis(50).build();
    return new RequestScenario(seed, Routing.LEAST_LOADED, settings, load, 8, 0, 1_000, millis);
  }

  static RequestScenario failing(long seed, double load, long millis) {
    RequestSettings settings = RequestSettings.builder().build();
    return new RequestScenario(seed, Routing.LEAST_LOADED, settings, load, 1, 0.6, 1_000, millis);
  }

  RequestScenario withRouting(Routing value) {
    return new RequestScenario(
        seed, value, settings, load, slowFactor, failing, deadlineMillis, millis);
  }

  RequestScenario withSettings(RequestSettings value) {
    return new RequestScenario(
        seed, routing, value, load, slowFactor, failing, deadlineMillis, millis);
  }
}
