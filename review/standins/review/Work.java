package review;

/** What the tasks of a script do. */
interface Work {
  /** Returns how long a task works. */
  long millis(String task);

  /** Returns whether a task checkpoints its progress. */
  default boolean saves(String task) {
    return false;
  }
}
