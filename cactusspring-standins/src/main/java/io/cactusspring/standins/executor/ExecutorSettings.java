package io.cactusspring.standins.executor;

/**
 * The body of an admin call; an absent field leaves its switch as it is.
 *
 * @param serviceMillis the mean service time
 * @param slowMillis added to each service time
 * @param silent whether requests run and get no answer
 * @param lateMillis how long an answer is held after its slot was given back
 * @param leaving whether new requests are refused
 */
record ExecutorSettings(
    Double serviceMillis, Long slowMillis, Boolean silent, Long lateMillis, Boolean leaving) {
  /** Returns the switches of an executor without faults. */
  static ExecutorSettings withoutFaults(double serviceMillis) {
    return new ExecutorSettings(serviceMillis, 0L, false, 0L, false);
  }

  /** Returns these switches with the present fields of another one. */
  ExecutorSettings mergedWith(ExecutorSettings changed) {
    return new ExecutorSettings(
        changed.serviceMillis == null ? serviceMillis : changed.serviceMillis,
        changed.slowMillis == null ? slowMillis : changed.slowMillis,
        changed.silent == null ? silent : changed.silent,
        changed.lateMillis == null ? lateMillis : changed.lateMillis,
        changed.leaving == null ? leaving : changed.leaving);
  }
}
