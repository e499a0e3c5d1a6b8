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
 * Serves the platform's log from memory, with switches for its outages.
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
  private final List<WaitingRead> waiting = new ArrayList<>();
  private Outage outage = Outage.NONE;
  private int answersToLose;
  private long delayMillis;
  private long appends;
  private long reads;

  /**
   * @param retained the number of records kept
   * @throws IllegalArgumentException if it is negative
   */
  public LogStandIn(Vertx vertx, int retained) {
    this.vertx = vertx;
    server = new JsonServer(vertx);
    store = new RecordStore(retained);
    server.post("/log/records", AppendBody.class, this::onAppend);
    server.handle(HttpMethod.GET, "/log/records", this::onRead);
    server.change("/admin", LogSwitches.class, this::apply);
    server.get("/admin", this::state);
  }

  /**
   * Starts to serve.
   *
   * @return the port listened on
   * @throws StandInException if the address can't be used
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
    afterDelay(() -> read(new WaitingRead(context, from, limit), waitMillis));
  }

  private void append(RoutingContext context, AppendBody body) {
    if (isOut(context)) {
      return;
    }
    AppendAnswer answer = store.append(body.records());
    if (countAppendAndTakeLoss()) {
      var unused = context.request().connection().close();
    } else {
      JsonServer.answer(context, HttpStatus.OK, answer);
    }
    releaseReads();
  }

  private synchronized boolean countAppendAndTakeLoss() {
    appends++;
    boolean lost = answersToLose > 0;
    if (lost) {
      answersToLose--;
    }
    return lost;
  }

  private void read(WaitingRead read, long waitMillis) {
    boolean atEnd = read.from() >= store.ends().next();
    if (!atEnd || waitMillis <= 0 || currentOutage() != Outage.NONE) {
      answer(read);
      return;
    }
    synchronized (this) {
      waiting.add(read);
    }
    vertx.setTimer(waitMillis, timer -> release(read));
  }

  private void release(WaitingRead read) {
    boolean waits;
    synchronized (this) {
      waits = waiting.remove(read);
    }
    if (waits) {
      answer(read);
    }
  }

  private void releaseReads() {
    List<WaitingRead> released;
    synchronized (this) {
      released = List.copyOf(waiting);
      waiting.clear();
    }
    released.forEach(this::answer);
  }

  private void answer(WaitingRead read) {
    if (isOut(read.context())) {
      return;
    }
    synchronized (this) {
      reads++;
    }
    if (store.isExpired(read.from())) {
      JsonServer.answer(read.context(), HttpStatus.GONE, store.ends());
    } else {
      JsonServer.answer(read.context(), HttpStatus.OK, store.read(read.from(), read.limit()));
    }
  }

  private synchronized Outage currentOutage() {
    return outage;
  }

  /** Returns whether the log is out; a refusing one has then answered the call. */
  private boolean isOut(RoutingContext context) {
    Outage current = currentOutage();
    if (current == Outage.REFUSE) {
      JsonServer.answer(context, HttpStatus.UNAVAILABLE, new ErrorBody("the log is out"));
    }
    return current != Outage.NONE;
  }

  private LogState apply(LogSwitches switches) {
    synchronized (this) {
      outage = switches.outage() == null ? outage : switches.outage();
      answersToLose =
          switches.loseNextAnswers() == null ? answersToLose : switches.loseNextAnswers();
      delayMillis = switches.delayMillis() == null ? delayMillis : switches.delayMillis();
    }
    if (switches.retain() != null) {
      store.retain(switches.retain());
    }
    if (currentOutage() != Outage.NONE) {
      releaseReads();
    }
    return state();
  }

  private synchronized LogState state() {
    LogEnds ends = store.ends();
    return new LogState(
        ends.earliest(), ends.next(), outage, answersToLose, delayMillis, appends, reads);
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

  private static long longParam(RoutingContext context, String name, long absent) {
    String text = context.request().getParam(name);
    return text == null ? absent : Long.parseLong(text);
  }
}
