package io.cactusspring.standins.load;

/**
 * Options of the load client.
 *
 * @param direct URL of the executor's execute endpoint
 * @param entry URL of an entry host's requests endpoint for the same service
 * @param key the API key for the entry host, or null
 * @param requests the number of requests on each path
 * @param concurrency the number of concurrent requests
 * @since 0.1
 */
public record LoadOptions(String direct, String entry, String key, int requests, int concurrency) {
  private static final int MAX_REQUESTS = 1_000_000;

  /**
   * @throws IllegalArgumentException if requests or concurrency is out of range
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
