package io.cactusspring.jobs.simulation;

/** Faults of the owner's calls to executors, by which a test shows that its checks notice them. */
public enum CallFault {
  /** All calls of a term carry the same fencing token. */
  TOKEN_NOT_RAISED,

  /** Each renewal repeats the highest number up to which the executor was told to delete ends. */
  ACKNOWLEDGEMENT_REPEATED
}
