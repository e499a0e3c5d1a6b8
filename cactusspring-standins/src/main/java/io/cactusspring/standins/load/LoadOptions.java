package io.cactusspring.standins.load;

/**
 * What the load client sends.
 *
 * @param direct URL of the executor's execute call
 * @param entry URL of the same service's requests call at an entry host
 * @param key the key for the entry host, or null
 * @param requests requests on each of the two ways
 * @param concurrency requests open at once
 * @since 0.1
 */
public record LoadOptions(String direct, String entry, String key, int requests, int concurrency) {
  private static final int MAX_REQUESTS = 1_000_000;

  /**
   * @throws IllegalArgumentException if a number is out of range
   */
  public LoadOptions {
    if (requests < 1 || requests > MAX_REQUESTS) {
      throw new IllegalArgumentException(
          "requests is " + requests + "; expected 1 to " + MAX_REQUESTS);
    }
    if (concurrency < 1 || concurrency > requests) {
      throw new IllegalArgumentException(
          "concurrency is " + concurrency + "; expected 1 to " + requests);
    }
  }
}
