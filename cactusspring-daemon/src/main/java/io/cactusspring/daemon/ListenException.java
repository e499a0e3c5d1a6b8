package io.cactusspring.daemon;

import io.cactusspring.daemon.settings.Address;

/**
 * A port cannot be opened.
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

  /** Where the daemon was to listen. */
  public Address address() {
    return address;
  }
}
