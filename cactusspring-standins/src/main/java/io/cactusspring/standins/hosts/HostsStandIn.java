package io.cactusspring.standins.hosts;

import io.cactusspring.standins.http.ErrorBody;
import io.cactusspring.standins.http.HttpStatus;
import io.cactusspring.standins.http.Json;
import io.cactusspring.standins.http.JsonServer;
import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.Outage;
import io.cactusspring.standins.http.StandInException;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.RoutingContext;
import java.nio.file.Path;
import java.util.function.UnaryOperator;

/**
 * Serves the list of hosts; each change shows after a lag.
 *
 * <pre>{@code
 * HostsStandIn hosts = HostsStandIn.fromFile(vertx, Path.of("hosts.json"), 500);
 * int port = hosts.listen(ListenAddress.parse("127.0.0.1:0"));
 * }</pre>
 *
 * @since 0.1
 */
public final class HostsStandIn implements AutoCloseable {
  private final Vertx vertx;
  private final JsonServer server;
  private HostTable current;
  private HostTable shown;
  private Outage outage = Outage.NONE;
  private long lagMillis;

  HostsStandIn(Vertx vertx, HostTable table, long lagMillis) {
    this.vertx = vertx;
    this.current = table;
    this.shown = table;
    this.lagMillis = lagMillis;
    server = new JsonServer(vertx);
    server.handle(HttpMethod.GET, "/hosts", this::onList);
    server.post("/admin/hosts/:name", HostChange.class, this::onHostChange);
    server.post("/admin/hosts", HostTable.class, this::onAdd);
    server.change("/admin", HostSwitches.class, this::apply);
  }

  /**
   * Reads the first list from a file of the form that {@code GET /hosts} answers.
   *
   * @param lagMillis the time until a change shows
   * @throws StandInException if the file can't be read
   */
  public static HostsStandIn fromFile(Vertx vertx, Path file, long lagMillis)
      throws StandInException {
    return new HostsStandIn(vertx, Json.read(file, HostTable.class), lagMillis);
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

  private void onList(RoutingContext context) {
    HostTable table;
    Outage now;
    synchronized (this) {
      table = shown;
      now = outage;
    }
    switch (now) {
      case NONE -> JsonServer.answer(context, HttpStatus.OK, table);
      case REFUSE ->
          JsonServer.answer(context, HttpStatus.UNAVAILABLE, new ErrorBody("the host list is out"));
      case SILENT -> {}
    }
  }

  private void onHostChange(RoutingContext context, HostChange change) {
    String name = context.pathParam("name");
    if (!isKnown(name)) {
      JsonServer.answer(context, HttpStatus.NOT_FOUND, new ErrorBody("no host " + name));
      return;
    }
    update(table -> change.applyTo(table, name));
    JsonServer.answer(context, HttpStatus.OK, change);
  }

  private void onAdd(RoutingContext context, HostTable added) {
    update(table -> table.with(added));
    JsonServer.answer(context, HttpStatus.OK, added);
  }

  private synchronized boolean isKnown(String name) {
    return current.has(name);
  }

  private void update(UnaryOperator<HostTable> change) {
    long lag;
    synchronized (this) {
      current = change.apply(current);
      lag = lagMillis;
    }
    if (lag <= 0) {
      show(change);
    } else {
      vertx.setTimer(lag, timer -> show(change));
    }
  }

  private synchronized void show(UnaryOperator<HostTable> change) {
    shown = change.apply(shown);
  }

  private synchronized HostSwitches apply(HostSwitches switches) {
    outage = switches.outage() == null ? outage : switches.outage();
    lagMillis = switches.lagMillis() == null ? lagMillis : switches.lagMillis();
    return new HostSwitches(outage, lagMillis);
  }
}
