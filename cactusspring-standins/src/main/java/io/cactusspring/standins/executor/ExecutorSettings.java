package io.cactusspring.standins.executor;

/**
 * Request body of {@code POST /admin}; an absent field leaves its setting unchanged.
 *
 * @param serviceMillis the mean service time in milliseconds
 * @param slowMillis the milliseconds added to each service time
 * @param silent whether requests are run but get no response
 * @param lateMillis the delay in milliseconds between the release of the slot and the response
 * @param leaving whether new requests are rejected
 */
record ExecutorSettings(
    Double serviceMillis, Long slowMillis, Boolean silent, Long lateMillis, Boolean leaving) {
  /** Returns the settings of an executor without simulated faults. */
  static ExecutorSettings withoutFaults(double serviceMillis) {
    return new ExecutorSettings(serviceMillis, 0L, false, 0L, false);
  }

  /** Returns these settings overridden by the non-null fields of {@code changed}. */
  ExecutorSettings mergedWith(ExecutorSettings changed) {
    return new ExecutorSettings(
        changed.serviceMillis == null ? serviceMillis : changed.serviceMillis,
        changed.slowMillis == null ? slowMillis : changed.slowMillis,
        changed.silent == null ? silent : changed.silent,
        changed.lateMillis == null ? lateMillis : changed.lateMillis,
        changed.leaving == null ? leaving : changed.leaving);
  }
}
