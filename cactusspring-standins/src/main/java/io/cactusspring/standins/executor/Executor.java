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

/** One executor behind its own port. */
final class Executor implements AutoCloseable {
  private static final int MAX_REQUEST_BYTES = 1 << 20;

  private final Vertx vertx;
  private final String name;
  private final SlotTable table;
  private final ServiceTimes times;
  private final JsonServer server;
  private ExecutorSwitches switches;

  Executor(Vertx vertx, ExecutorOptions options, int index) {
    this.vertx = vertx;
    name = options.nameOf(index);
    table = new SlotTable(options.slots(), options.connections());
    times = new ServiceTimes(new Random(options.seed() + index));
    switches = ExecutorSwitches.off(options.serviceMillis());
    server = new JsonServer(vertx);
    server.onConnection(this::onConnection);
    server.handle(HttpMethod.POST, "/execute", this::onExecute);
    server.handle(HttpMethod.GET, "/probe", this::onProbe);
    server.change("/admin", ExecutorSwitches.class, this::apply);
    server.get("/admin/history", table::history);
    server.get("/admin/stats", table::stats);
  }

  int listen(ListenAddress address) throws StandInException {
    return server.listen(address);
  }

  @Override
  public void close() {
    server.close();
  }

  private void onConnection(HttpConnection connection) {
    connection.closeHandler(closed -> table.disconnect());
    if (!table.connect()) {
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
      JsonServer.answer(
          context, HttpStatus.BAD_REQUEST, new ErrorBody("header x-request-id is missing"));
      return;
    }
    if (context.body().length() > MAX_REQUEST_BYTES) {
      ErrorBody error = new ErrorBody("body exceeds " + MAX_REQUEST_BYTES + " bytes");
      JsonServer.answer(context, HttpStatus.TOO_LARGE, error);
      return;
    }
    Execution execution = new Execution(request, attempt(context));
    if (current().leaving() || !table.begin(execution)) {
      refuse(context);
      return;
    }
    serve(context, request);
  }

  private void serve(RoutingContext context, String request) {
    String body = context.body().length() > 0 ? context.body().asString() : "";
    ExecutorAnswer answer = new ExecutorAnswer(request, name, body);
    after(serviceMillis(), () -> finish(context, answer));
  }

  private void finish(RoutingContext context, ExecutorAnswer answer) {
    table.finish();
    if (current().silent()) {
      return;
    }
    after(current().lateMillis(), () -> send(context, answer));
  }

  private static void send(RoutingContext context, ExecutorAnswer answer) {
    if (!context.response().closed()) {
      context.response().putHeader("x-request-id", answer.request());
      JsonServer.answer(context, HttpStatus.OK, answer);
    }
  }

  private static void refuse(RoutingContext context) {
    context.response().putHeader("x-not-run", "true");
    JsonServer.answer(context, HttpStatus.UNAVAILABLE, new ErrorBody("no slot is free"));
  }

  private synchronized long serviceMillis() {
    return times.nextMillis(switches.serviceMillis()) + switches.slowMillis();
  }

  private synchronized ExecutorSwitches current() {
    return switches;
  }

  private synchronized ExecutorSwitches apply(ExecutorSwitches changed) {
    switches = switches.with(changed);
    return switches;
  }

  private void after(long millis, Runnable step) {
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
