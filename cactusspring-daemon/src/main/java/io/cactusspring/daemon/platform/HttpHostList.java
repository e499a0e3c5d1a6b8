package io.cactusspring.daemon.platform;

import io.vertx.core.Future;

/**
 * Reads the platform's host list over HTTP.
 *
 * @since 0.1
 */
public final class HttpHostList implements HostList {
  private static final int OK = 200;

  private final JsonClient client;
  private final String address;
  private final long timeoutMillis;

  /** Creates the adapter. Each call that has received no response fails after the timeout. */
  public HttpHostList(JsonClient client, String address, long timeoutMillis) {
    this.client = client;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public Future<Hosts> read() {
    return client.get(address, "/hosts", timeoutMillis).compose(this::decode);
  }

  private Future<Hosts> decode(JsonClient.Response response) {
    if (response.status() != OK) {
      return Future.failedFuture(
          new PlatformException(
              "host list responded with status " + response.status() + "; expected 200"));
    }
    try {
      return Future.succeededFuture(client.decode(response.body(), Hosts.class));
    } catch (PlatformException e) {
      return Future.failedFuture(e);
    }
  }
}
