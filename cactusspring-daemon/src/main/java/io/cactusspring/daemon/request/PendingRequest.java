package io.cactusspring.daemon.request;

import io.cactusspring.core.request.RequestSpec;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;

/** A request without a final answer, with the state that the routing decisions do not need. */
final class PendingRequest {
  private final RequestSpec spec;
  private final RoutingContext routing;
  private final Context context;
  private final Buffer body;
  private volatile ExecutorAnswer answer;

  PendingRequest(RequestSpec spec, RoutingContext routing, Context context, Buffer body) {
    this.spec = spec;
    this.routing = routing;
    this.context = context;
    this.body = body;
  }

  RequestSpec spec() {
    return spec;
  }

  RoutingContext routing() {
    return routing;
  }

  Buffer body() {
    return body;
  }

  /** Returns the answer of the last attempt; null if it failed or no attempt has ended yet. */
  ExecutorAnswer answer() {
    return answer;
  }

  void setAnswer(ExecutorAnswer value) {
    answer = value;
  }

  /** Runs a step on the event loop on which the request arrived. */
  void onEventLoop(Runnable step) {
    if (Vertx.currentContext() == context) {
      step.run();
    } else {
      context.runOnContext(v -> step.run());
    }
  }
}
