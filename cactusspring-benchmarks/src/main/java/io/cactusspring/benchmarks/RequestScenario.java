package io.cactusspring.benchmarks;

import io.cactusspring.core.request.RequestSettings;

/**
 * Parameters of a request simulation.
 *
 * @param load fraction of all executor slots that the offered requests would occupy
 * @param slowFactor factor on the service time in the second quarter of the simulated time
 * @param failing fraction of the executions that end without an answer in the second quarter
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
