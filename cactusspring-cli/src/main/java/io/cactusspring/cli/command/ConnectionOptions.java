package io.cactusspring.cli.command;

import io.cactusspring.cli.client.HostUrl;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * How the tool reaches the entry hosts and what it shows them.
 *
 * @param hosts in the order in which they are tried
 * @since 0.1
 */
public record ConnectionOptions(
    List<HostUrl> hosts, Optional<Path> keyFile, Optional<Path> authorities) {
  public ConnectionOptions {
    hosts = List.copyOf(hosts);
  }
}
