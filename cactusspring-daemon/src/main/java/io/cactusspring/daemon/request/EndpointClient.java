package io.cactusspring.daemon.request;

import io.cactusspring.core.request.EndpointShare;
import io.vertx.core.http.HttpClient;

/**
 * HTTP client of one endpoint, which is closed once it is retired and no attempt uses it.
 *
 * <p>{@link HttpClient#shutdown} doesn't wait for requests whose connection is not open yet, so the
 * attempts are counted here.
 */
final class EndpointClient {
  private final String address;
  private final int connections;
  private final HttpClient http;
  private int attempts;
  private boolean retired;

  EndpointClient(EndpointShare endpoint, HttpClient http) {
    this.address = endpoint.info().address();
    this.connections = endpoint.ownConnections();
    this.http = http;
  }

  boolean matches(EndpointShare e) {
    return address.equals(e.info().address()) && connections == e.ownConnections();
  }

  HttpClient http() {
    return http;
  }

  /** Begins an attempt; a matching {@link #end} must follow. */
  synchronized EndpointClient begin() {
    attempts++;
    return this;
  }

  /** Ends an attempt. */
  synchronized void end() {
    attempts--;
    closeIfUnused();
  }

  /** Closes the client once its attempts have ended. No attempt may begin after this call. */
  synchronized void retire() {
    retired = true;
    closeIfUnused();
  }

  private void closeIfUnused() {
    if (retired && attempts == 0) {
      http.close();
    }
  }
}
