package io.cactusspring.standins.log;

import io.cactusspring.standins.http.ErrorBody;
import io.cactusspring.standins.http.HttpStatus;
import io.cactusspring.standins.http.JsonServer;
import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.Outage;
import io.cactusspring.standins.http.StandInException;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;

/**
 * Serves the platform's log from memory and simulates its outages.
 *
 * <pre>{@code
 * LogStandIn log = new LogStandIn(vertx, 100_000);
 * int port = log.listen(ListenAddress.parse("127.0.0.1:0"));
 * }</pre>
 *
 * @since 0.1
 */
public final class LogStandIn implements AutoCloseable {
  private static final long MAX_WAIT_MILLIS = 10_000;
  private static final int MAX_READ_RECORDS = 10_000;

  private final Vertx vertx;
  private final JsonServer server;
  private final RecordStore store;
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private Outage outage = Outage.NONE;
  private int responsesToDrop;
  private long delayMillis;
  private long appends;
  private long reads;

  /**
   * @param retained the number of records retained
   * @throws IllegalArgumentException if {@code retained} is negative
   */
  public LogStandIn(Vertx vertx, int retained) {
    this.vertx = vertx;
    server = new JsonServer(vertx);
    store = new RecordStore(retained);
    server.post("/log/records", AppendBody.class, this::onAppend);
    server.handle(HttpMethod.GET, "/log/records", this::onRead);
    server.postForResult("/admin", LogSettings.class, this::applySettings);
    server.get("/admin", this::state);
  }

  /**
   * Starts the server.
   *
   * @return the port listened on
   * @throws StandInException if the server cannot listen on the address
   */
  public int listen(ListenAddress address) throws StandInException {
    return server.listen(address);
  }

  @Override
  public void close() {
    server.close();
  }

  private void onAppend(RoutingContext context, AppendBody body) {
    afterDelay(() -> append(context, body));
  }

  private void onRead(RoutingContext context) {
    long from = longParam(context, "from", 1);
    int limit = (int) Math.min(MAX_READ_RECORDS, longParam(context, "limit", MAX_READ_RECORDS));
    long waitMillis = Math.min(MAX_WAIT_MILLIS, longParam(context, "waitMillis", 0));
    afterDelay(() -> read(new PendingRead(context, from, limit), waitMillis));
  }

  private void append(RoutingContext context, AppendBody body) {
    if (failsByOutage(context)) {
      return;
    }
    AppendAnswer response = store.append(body.records());
    if (countAppend()) {
      var unused = context.request().connection().close();
    } else {
      JsonServer.respond(context, HttpStatus.OK, response);
    }
    completePendingReads();
  }

  /** Counts an append and returns whether its response is to be dropped. */
  private synchronized boolean countAppend() {
    appends++;
    boolean drop = responsesToDrop > 0;
    if (drop) {
      responsesToDrop--;
    }
    return drop;
  }

  private void read(PendingRead read, long waitMillis) {
    boolean atEnd = read.from() >= store.offsetRange().next();
    if (!atEnd || waitMillis <= 0 || currentOutage() != Outage.NONE) {
      respond(read);
      return;
    }
    synchronized (this) {
      pendingReads.add(read);
    }
    vertx.setTimer(waitMillis, timer -> completeIfPending(read));
  }

  private void completeIfPending(PendingRead read) {
    boolean pending;
    synchronized (this) {
      pending = pendingReads.remove(read);
    }
    if (pending) {
      respond(read);
    }
  }

  private void completePendingReads() {
    List<PendingRead> completed;
    synchronized (this) {
      completed = List.copyOf(pendingReads);
      pendingReads.clear();
    }
    completed.forEach(this::respond);
  }

  private void respond(PendingRead read) {
    if (failsByOutage(read.context())) {
      return;
    }
    synchronized (this) {
      reads++;
    }
    if (store.isExpired(read.from())) {
      JsonServer.respond(read.context(), HttpStatus.GONE, store.offsetRange());
    } else {
      JsonServer.respond(read.context(), HttpStatus.OK, store.read(read.from(), read.limit()));
    }
  }

  private synchronized Outage currentOutage() {
    return outage;
  }

  /** Returns whether an outage is active; responds with 503 if requests are to be refused. */
  private boolean failsByOutage(RoutingContext context) {
    Outage current = currentOutage();
    if (current == Outage.REFUSE) {
      JsonServer.respond(
          context,
          HttpStatus.UNAVAILABLE,
          new ErrorBody("log unavailable: outage is set to refuse"));
    }
    return current != Outage.NONE;
  }

  private LogState applySettings(LogSettings settings) {
    synchronized (this) {
      outage = settings.outage() == null ? outage : settings.outage();
      responsesToDrop =
          settings.loseNextAnswers() == null ? responsesToDrop : settings.loseNextAnswers();
      delayMillis = settings.delayMillis() == null ? delayMillis : settings.delayMillis();
    }
    if (settings.retain() != null) {
      store.setRetained(settings.retain());
    }
    if (currentOutage() != Outage.NONE) {
      completePendingReads();
    }
    return state();
  }

  private synchronized LogState state() {
    OffsetRange range = store.offsetRange();
    return new LogState(
        range.earliest(), range.next(), outage, responsesToDrop, delayMillis, appends, reads);
  }

  private void afterDelay(Runnable step) {
    long delay;
    synchronized (this) {
      delay = delayMillis;
    }
    if (delay <= 0) {
      step.run();
    } else {
      vertx.setTimer(delay, timer -> step.run());
    }
  }

  private static long longParam(RoutingContext context, String name, long defaultValue) {
    String text = context.request().getParam(name);
    return text == null ? defaultValue : Long.parseLong(text);
  }
}
