package io.cactusspring.standins.executor;

import io.cactusspring.standins.http.ErrorBody;
import io.cactusspring.standins.http.HttpStatus;
import io.cactusspring.standins.http.JsonServer;
import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.StandInException;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.RoutingContext;
import java.util.Random;

/** One executor, served on its own port. */
final class Executor implements AutoCloseable {
  private static final int MAX_REQUEST_BYTES = 1 << 20;

  private final Vertx vertx;
  private final String name;
  private final SlotTable slots;
  private final ServiceTimes serviceTimes;
  private final JsonServer server;
  private ExecutorSettings settings;

  Executor(Vertx vertx, ExecutorOptions options, int index) {
    this.vertx = vertx;
    name = options.nameOf(index);
    slots = new SlotTable(options.slots(), options.connections());
    serviceTimes = new ServiceTimes(new Random(options.seed() + index));
    settings = ExecutorSettings.withoutFaults(options.serviceMillis());
    server = new JsonServer(vertx);
    server.onConnection(this::onConnection);
    server.handle(HttpMethod.POST, "/execute", this::onExecute);
    server.handle(HttpMethod.GET, "/probe", this::onProbe);
    server.postForResult("/admin", ExecutorSettings.class, this::applySettings);
    server.get("/admin/history", slots::history);
    server.get("/admin/stats", slots::stats);
  }

  int listen(ListenAddress address) throws StandInException {
    return server.listen(address);
  }

  @Override
  public void close() {
    server.close();
  }

  private void onConnection(HttpConnection connection) {
    connection.closeHandler(closed -> slots.disconnect());
    if (!slots.tryConnect()) {
      var unused = connection.close();
    }
  }

  private void onProbe(RoutingContext context) {
    if (!current().silent()) {
      var unused = context.response().end();
    }
  }

  private void onExecute(RoutingContext context) {
    String request = context.request().getHeader("x-request-id");
    if (request == null) {
      JsonServer.respond(
          context, HttpStatus.BAD_REQUEST, new ErrorBody("header x-request-id is missing"));
      return;
    }
    if (context.body().length() > MAX_REQUEST_BYTES) {
      ErrorBody error = new ErrorBody("body exceeds " + MAX_REQUEST_BYTES + " bytes");
      JsonServer.respond(context, HttpStatus.TOO_LARGE, error);
      return;
    }
    Execution execution = new Execution(request, attempt(context));
    if (current().leaving() || !slots.tryBegin(execution)) {
      refuse(context);
      return;
    }
    serve(context, request);
  }

  private void serve(RoutingContext context, String request) {
    String body = context.body().length() > 0 ? context.body().asString() : "";
    ExecutorAnswer response = new ExecutorAnswer(request, name, body);
    runAfter(serviceMillis(), () -> finish(context, response));
  }

  private void finish(RoutingContext context, ExecutorAnswer response) {
    slots.finish();
    if (current().silent()) {
      return;
    }
    runAfter(current().lateMillis(), () -> send(context, response));
  }

  private static void send(RoutingContext context, ExecutorAnswer response) {
    if (!context.response().closed()) {
      context.response().putHeader("x-request-id", response.request());
      JsonServer.respond(context, HttpStatus.OK, response);
    }
  }

  private static void refuse(RoutingContext context) {
    context.response().putHeader("x-not-run", "true");
    JsonServer.respond(
        context,
        HttpStatus.UNAVAILABLE,
        new ErrorBody("request not run: executor has no free slot or is leaving"));
  }

  private synchronized long serviceMillis() {
    return serviceTimes.nextMillis(settings.serviceMillis()) + settings.slowMillis();
  }

  private synchronized ExecutorSettings current() {
    return settings;
  }

  private synchronized ExecutorSettings applySettings(ExecutorSettings changed) {
    settings = settings.mergedWith(changed);
    return settings;
  }

  private void runAfter(long millis, Runnable step) {
    if (millis <= 0) {
      step.run();
    } else {
      vertx.setTimer(millis, timer -> step.run());
    }
  }

  private static int attempt(RoutingContext context) {
    String text = context.request().getHeader("x-attempt");
    return text == null ? 1 : Integer.parseInt(text);
  }
}
