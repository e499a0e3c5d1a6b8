package io.cactusspring.jobs.control;

import io.cactusspring.jobs.link.PeerMessage.Failure;
import io.cactusspring.jobs.link.PeerMessage.Reply;
import io.cactusspring.jobs.link.PeerMessage.Request;
import io.cactusspring.jobs.port.PeerException;
import io.cactusspring.jobs.port.PeerLink;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;

/** The requests to another entry host over one link, which wait for their replies. */
final class PeerCalls {
  private final PeerLink link;
  private final Timers timers;
  private final Map<Long, Promise<Reply>> pending = new HashMap<>();
  private long lastId;
  private boolean closed;

  PeerCalls(PeerLink link, Timers timers) {
    this.link = link;
    this.timers = timers;
  }

  /**
   * Sends a request.
   *
   * @param request creates the request with a given id
   * @return fails with a {@link PeerException} if there is no reply of the expected type in time
   */
  <R extends Reply> Future<R> call(
      LongFunction<Request> request, Class<R> replyType, long timeoutMillis) {
    long id = ++lastId;
    if (closed || !link.send(request.apply(id))) {
      return Future.failedFuture(new PeerException(false, "the link is closed or congested"));
    }
    Promise<Reply> promise = Promise.promise();
    pending.put(id, promise);
    timers.after(
        timeoutMillis,
        () -> {
          if (pending.remove(id) != null) {
            promise.tryFail(new PeerException(true, "no reply within " + timeoutMillis + " ms"));
          }
        });
    return promise.future().compose(reply -> expect(reply, replyType));
  }

  private static <R extends Reply> Future<R> expect(Reply reply, Class<R> replyType) {
    if (replyType.isInstance(reply)) {
      return Future.succeededFuture(replyType.cast(reply));
    }
    return Future.failedFuture(
        reply instanceof Failure failure
            ? new PeerException(false, failure.reason())
            : new PeerException(true, "unexpected reply " + reply));
  }

  /** Completes the request that a reply answers; a late reply has no effect. */
  void replied(Reply reply) {
    Promise<Reply> promise = pending.remove(reply.id());
    if (promise != null) {
      promise.complete(reply);
    }
  }

  /** Fails all requests that wait for a reply. */
  void closed() {
    closed = true;
    List<Promise<Reply>> open = List.copyOf(pending.values());
    pending.clear();
    open.forEach(p -> p.fail(new PeerException(true, "the link has closed")));
  }
}
