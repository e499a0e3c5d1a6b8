package io.cactusspring.cli.command;

import io.cactusspring.cli.client.HostUrl;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Options for the connection to the entry hosts.
 *
 * @param hosts in the order in which they are tried
 * @param keyFile file with the key, {@code NAME.SECRET}
 * @param authorities PEM file of the certificates trusted for TLS
 * @since 0.1
 */
public record ConnectionOptions(
    List<HostUrl> hosts, Optional<Path> keyFile, Optional<Path> authorities) {
  public ConnectionOptions {
    hosts = List.copyOf(hosts);
  }
}
