package io.cactusspring.jobs.port;

/**
 * What the platform's store accepts. An append that exceeds a limit is refused however often it is
 * sent.
 *
 * @param recordBytes size of the largest record, with its key
 * @param requestBytes most that the records of one append hold together
 * @since 0.2
 */
public record StoreLimits(int recordBytes, int requestBytes) {
  /** Limits that every store of the platform has at least. */
  public static final StoreLimits DEFAULT = new StoreLimits(262_144, 2_097_152);

  /**
   * @throws IllegalArgumentException if a request cannot hold a record
   */
  public StoreLimits {
    if (recordBytes <= 0 || requestBytes < recordBytes) {
      throw new IllegalArgumentException(
          "a request of "
              + requestBytes
              + " bytes cannot hold a record of "
              + recordBytes
              + "; expected a positive number of bytes and at least as many");
    }
  }
}
