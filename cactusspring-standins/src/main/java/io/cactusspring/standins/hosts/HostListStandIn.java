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
 * Serves the host list and publishes each change after a delay.
 *
 * <pre>{@code
 * HostListStandIn hosts = HostListStandIn.fromFile(vertx, Path.of("hosts.json"), 500);
 * int port = hosts.listen(ListenAddress.parse("127.0.0.1:0"));
 * }</pre>
 *
 * @since 0.1
 */
public final class HostListStandIn implements AutoCloseable {
  private final Vertx vertx;
  private final JsonServer server;
  private HostList actual;
  private HostList published;
  private Outage outage = Outage.NONE;
  private long lagMillis;

  HostListStandIn(Vertx vertx, HostList hosts, long lagMillis) {
    this.vertx = vertx;
    this.actual = hosts;
    this.published = hosts;
    this.lagMillis = lagMillis;
    server = new JsonServer(vertx);
    server.handle(HttpMethod.GET, "/hosts", this::onList);
    server.post("/admin/hosts/:name", HostChange.class, this::onHostChange);
    server.post("/admin/hosts", HostList.class, this::onAdd);
    server.postForResult("/admin", HostListSettings.class, this::applySettings);
  }

  /**
   * Reads the initial list from a file in the format of the {@code GET /hosts} response.
   *
   * @param lagMillis the delay in milliseconds before a change is published
   * @throws StandInException if the file cannot be read or is malformed
   */
  public static HostListStandIn fromFile(Vertx vertx, Path file, long lagMillis)
      throws StandInException {
    return new HostListStandIn(vertx, Json.read(file, HostList.class), lagMillis);
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

  private void onList(RoutingContext context) {
    HostList hosts;
    Outage now;
    synchronized (this) {
      hosts = published;
      now = outage;
    }
    switch (now) {
      case NONE -> JsonServer.respond(context, HttpStatus.OK, hosts);
      case REFUSE ->
          JsonServer.respond(
              context,
              HttpStatus.UNAVAILABLE,
              new ErrorBody("host list unavailable: outage is set to refuse"));
      case SILENT -> {}
    }
  }

  private void onHostChange(RoutingContext context, HostChange change) {
    String name = context.pathParam("name");
    if (!isKnown(name)) {
      JsonServer.respond(context, HttpStatus.NOT_FOUND, new ErrorBody("unknown host: " + name));
      return;
    }
    update(hosts -> change.applyTo(hosts, name));
    JsonServer.respond(context, HttpStatus.OK, change);
  }

  private void onAdd(RoutingContext context, HostList added) {
    update(hosts -> hosts.withAdded(added));
    JsonServer.respond(context, HttpStatus.OK, added);
  }

  private synchronized boolean isKnown(String name) {
    return actual.contains(name);
  }

  private void update(UnaryOperator<HostList> change) {
    long lag;
    synchronized (this) {
      actual = change.apply(actual);
      lag = lagMillis;
    }
    if (lag <= 0) {
      publish(change);
    } else {
      vertx.setTimer(lag, timer -> publish(change));
    }
  }

  private synchronized void publish(UnaryOperator<HostList> change) {
    published = change.apply(published);
  }

  private synchronized HostListSettings applySettings(HostListSettings settings) {
    outage = settings.outage() == null ? outage : settings.outage();
    lagMillis = settings.lagMillis() == null ? lagMillis : settings.lagMillis();
    return new HostListSettings(outage, lagMillis);
  }
}
