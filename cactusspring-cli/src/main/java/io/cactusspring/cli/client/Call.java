package io.cactusspring.cli.client;

import io.cactusspring.core.model.Arguments;
import java.util.ArrayList;
import java.util.List;

/**
 * An HTTP call to an entry host.
 *
 * <pre>{@code
 * Call call = Call.get("/v1/status").build();
 * }</pre>
 *
 * @param resendPolicy when the call may be sent to the next host
 * @param timeoutMillis time limit for the complete response of one host, in milliseconds
 * @since 0.1
 */
public record Call(
    Method method,
    String path,
    List<Header> headers,
    byte[] body,
    ResendPolicy resendPolicy,
    long timeoutMillis) {
  private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

  /** HTTP methods that the tool uses. */
  public enum Method {
    GET,
    POST
  }

  /** When a failed call may be sent to the next host. */
  public enum ResendPolicy {
    /** Always; the call is idempotent. */
    ALWAYS,
    /** Only while no host can have received the call. */
    IF_UNSENT,
    /** Never; the call is meant for one particular host. */
    NEVER
  }

  /** An HTTP header of the call. */
  public record Header(String name, String value) {}

  /**
   * @throws IllegalArgumentException if the timeout is not positive
   */
  public Call {
    headers = List.copyOf(headers);
    body = body.clone();
    Arguments.checkRange("timeoutMillis", timeoutMillis, 1, Integer.MAX_VALUE);
  }

  @Override
  public byte[] body() {
    return body.clone();
  }

  /** Starts a GET call, which may be sent to any host and repeated. */
  public static Builder get(String path) {
    return new Builder(Method.GET, path, ResendPolicy.ALWAYS);
  }

  /** Starts a POST call, which is resent only while no host can have received it. */
  public static Builder post(String path) {
    return new Builder(Method.POST, path, ResendPolicy.IF_UNSENT);
  }

  /** Builds a {@link Call}. */
  public static final class Builder {
    private final Method method;
    private final String path;
    private final List<Header> headers = new ArrayList<>();
    private byte[] body = {};
    private ResendPolicy resendPolicy;
    private long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;

    private Builder(Method method, String path, ResendPolicy resendPolicy) {
      this.method = method;
      this.path = path;
      this.resendPolicy = resendPolicy;
    }

    public Builder header(String name, String value) {
      headers.add(new Header(name, value));
      return this;
    }

    public Builder json(byte[] value) {
      body = value.clone();
      return header("content-type", "application/json");
    }

    public Builder body(byte[] value) {
      body = value.clone();
      return header("content-type", "application/octet-stream");
    }

    public Builder resendPolicy(ResendPolicy value) {
      resendPolicy = value;
      return this;
    }

    public Builder timeoutMillis(long value) {
      timeoutMillis = value;
      return this;
    }

    public Call build() {
      return new Call(method, path, headers, body, resendPolicy, timeoutMillis);
    }
  }
}
