package io.cactusspring.daemon;

import io.cactusspring.daemon.settings.Address;

/**
 * Thrown when the daemon cannot listen on an address.
 *
 * @since 0.1
 */
public final class ListenException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Address address;

  ListenException(Address address, Throwable cause) {
    super(String.valueOf(cause.getMessage()), cause);
    this.address = address;
  }

  /** Address on which the daemon could not listen. */
  public Address address() {
    return address;
  }
}
