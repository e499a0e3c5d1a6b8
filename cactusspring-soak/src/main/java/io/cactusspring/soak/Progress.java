package io.cactusspring.soak;

/** How much of its work a run has done. */
interface Progress {
  /** Returns the work that is done, including what was done before the checkpoint of the start. */
  long doneMillis();

  long totalMillis();
}
