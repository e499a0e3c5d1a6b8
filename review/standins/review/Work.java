package review;

/** What the tasks of a script do. */
interface Work {
  /** Returns how long a task works. */
  long millis(String task);

  /** Returns how long one run of a task works. */
  default long millis(String task, int run) {
    return millis(task);
  }

  /** Returns whether a task lasts: it is at work after a short startup, and shows 100 percent. */
  default boolean lasts(String task) {
    return false;
  }

  /** Returns whether a task checkpoints its progress. */
  default boolean saves(String task) {
    return false;
  }
}
