package io.cactusspring.daemon.request;

import io.cactusspring.core.request.AttemptOutcome;
import io.cactusspring.core.request.RequestRules;
import io.cactusspring.core.request.ResponseHead;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import java.util.concurrent.TimeUnit;

/**
 * One attempt to have an executor serve a request, confined to one event loop. After a failure the
 * connection is closed, so that a late answer is discarded.
 */
final class Attempt {
  static final String REQUEST_ID_HEADER = "x-request-id";
  private static final String DEADLINE_HEADER = "x-deadline-millis";
  private static final String ATTEMPT_HEADER = "x-attempt";
  private static final String NOT_RUN_HEADER = "x-not-run";

  private final Vertx vertx;
  private final AttemptSpec spec;
  private final long maxAnswerBytes;
  private final Promise<AttemptResult> result = Promise.promise();
  private HttpClientRequest request;
  private boolean sent;
  private boolean done;

  Attempt(Vertx vertx, AttemptSpec spec, long maxAnswerBytes) {
    this.vertx = vertx;
    this.spec = spec;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Runs the attempt; the future never fails. */
  Future<AttemptResult> run(Future<HttpClientRequest> connecting) {
    long millis = TimeUnit.NANOSECONDS.toMillis(spec.timeoutNanos()) + 1;
    long timer = vertx.setTimer(millis, t -> onTimeout());
    connecting.onComplete(this::onConnected);
    return result.future().onComplete(r -> vertx.cancelTimer(timer));
  }

  private void onTimeout() {
    finish(sent ? AttemptResult.timedOut() : AttemptResult.of(new AttemptOutcome.NotSent()));
  }

  private void onConnected(AsyncResult<HttpClientRequest> connected) {
    if (connected.failed()) {
      finish(AttemptResult.of(new AttemptOutcome.NotSent()));
      return;
    }
    request = connected.result();
    if (done) {
      request.connection().close();
      return;
    }
    sent = true;
    request.response().onComplete(this::onHead);
    request
        .putHeader(REQUEST_ID_HEADER, spec.requestId())
        .putHeader(DEADLINE_HEADER, Long.toString(spec.remainingMillis()))
        .putHeader(ATTEMPT_HEADER, Integer.toString(spec.number()))
        .send(spec.body());
  }

  private void onHead(AsyncResult<HttpClientResponse> head) {
    if (head.failed() || done) {
      finish(AttemptResult.failed());
      return;
    }
    HttpClientResponse response = head.result();
    switch (headOf(response).classify(RequestRules.standard(), spec.requestId(), maxAnswerBytes)) {
      case RESPONSE -> response.body().onComplete(b -> onBody(response, b));
      case NOT_RUN ->
          response.end().onComplete(x -> finish(AttemptResult.of(new AttemptOutcome.NotRun())));
      case FAILED -> finish(AttemptResult.failed());
    }
  }

  private void onBody(HttpClientResponse response, AsyncResult<Buffer> body) {
    if (body.failed() || body.result().length() != contentLength(response)) {
      finish(AttemptResult.failed());
      return;
    }
    String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
    finish(AttemptResult.answered(new ExecutorAnswer(type, body.result())));
  }

  private void finish(AttemptResult r) {
    if (done) {
      return;
    }
    done = true;
    if (r.outcome() instanceof AttemptOutcome.Failed && request != null) {
      request.connection().close();
    }
    result.complete(r);
  }

  private static ResponseHead headOf(HttpClientResponse response) {
    return new ResponseHead(
        response.statusCode(),
        response.getHeader(REQUEST_ID_HEADER),
        contentLength(response),
        "true".equals(response.getHeader(NOT_RUN_HEADER)));
  }

  private static long contentLength(HttpClientResponse response) {
    String length = response.getHeader(HttpHeaders.CONTENT_LENGTH);
    try {
      return length == null ? -1 : Long.parseLong(length);
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
