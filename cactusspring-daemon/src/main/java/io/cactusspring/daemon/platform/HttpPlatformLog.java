package io.cactusspring.daemon.platform;

import io.vertx.core.Future;
import java.util.List;

/**
 * Reads and appends to the platform's log over HTTP.
 *
 * @since 0.1
 */
public final class HttpPlatformLog implements PlatformLog {
  private static final int READ_LIMIT = 2_000;
  private static final int OK = 200;
  private static final int GONE = 410;

  private final JsonClient client;
  private final String address;
  private final long timeoutMillis;

  private record AppendBody(List<String> records) {}

  private record ReadBody(List<LogReadResult.Entry> records, long earliest, long next) {}

  /** Creates the adapter. Each call that has received no response fails after the timeout. */
  public HttpPlatformLog(JsonClient client, String address, long timeoutMillis) {
    this.client = client;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public Future<Void> append(List<String> records) {
    return client
        .post(address, "/log/records", new AppendBody(records), timeoutMillis)
        .compose(a -> a.status() == OK ? Future.succeededFuture() : failed(a));
  }

  @Override
  public Future<LogReadResult> read(long from, long waitMillis) {
    String path =
        "/log/records?from=" + from + "&limit=" + READ_LIMIT + "&waitMillis=" + waitMillis;
    return client.get(address, path, waitMillis + timeoutMillis).compose(this::decode);
  }

  private Future<LogReadResult> decode(JsonClient.Response response) {
    if (response.status() != OK && response.status() != GONE) {
      return failed(response);
    }
    try {
      ReadBody body = client.decode(response.body(), ReadBody.class);
      return Future.succeededFuture(
          response.status() == GONE
              ? new LogReadResult.Expired(body.earliest(), body.next())
              : new LogReadResult.Records(body.records(), body.next()));
    } catch (PlatformException e) {
      return Future.failedFuture(e);
    }
  }

  private static <T> Future<T> failed(JsonClient.Response response) {
    return Future.failedFuture(
        new PlatformException(
            "platform log responded with status " + response.status() + "; expected 200"));
  }
}
