package io.cactusspring.daemon;

import io.cactusspring.daemon.http.CellView;
import io.cactusspring.daemon.http.Filters;
import io.cactusspring.daemon.http.RefusalWriter;
import io.cactusspring.daemon.port.CallerPort;
import io.cactusspring.daemon.port.CertificateReload;
import io.cactusspring.daemon.request.RequestService;
import io.cactusspring.daemon.settings.DaemonSettings;
import io.cactusspring.daemon.work.NoteApi;
import io.cactusspring.daemon.work.StatusApi;
import io.cactusspring.daemon.work.SubmissionApi;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Route;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/** The port for callers, operators, the balancer and Prometheus. */
final class CallerServer {
  private static final int ACCEPTED = 202;

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final Apis apis;
  private final HttpServer server;

  /** What answers the calls. */
  record Apis(
      CellView view,
      RefusalWriter refusals,
      PrometheusMeterRegistry registry,
      RequestService requests,
      SubmissionApi work,
      NoteApi notes,
      StatusApi status,
      Runnable drain) {}

  CallerServer(Vertx vertx, DaemonSettings settings, Apis apis) {
    this.settings = settings;
    this.apis = apis;
    this.vertx = vertx;
    this.server = new CallerPort(vertx, settings, apis.registry()).createServer(router(vertx));
  }

  Future<Void> listen() {
    return server
        .listen(settings.callerAddress().port(), settings.callerAddress().host())
        .onSuccess(s -> reloadCertificates())
        .mapEmpty();
  }

  private void reloadCertificates() {
    settings.callerTls().ifPresent(t -> CertificateReload.forCallers(vertx, t, server).start());
  }

  Future<Void> close() {
    return server.close();
  }

  private Router router(Vertx vertx) {
    Router router = Router.router(vertx);
    Filters filters = new Filters(apis.view(), apis.refusals());
    apis.requests().mount(router);
    router.get("/health/live").handler(apis.status()::live);
    router.get("/health/ready").handler(apis.status()::ready);
    router.get("/metrics").handler(this::metrics);
    work(filters, router.post("/v1/submissions"), true, apis.work()::submit);
    work(filters, router.get("/v1/submissions/:id"), false, apis.work()::status);
    work(filters, router.post("/v1/submissions/:id/cancel"), false, apis.work()::cancel);
    operator(filters, router.post("/v1/notes"), true, apis.notes()::apply);
    operator(filters, router.post("/v1/notes/check"), true, apis.notes()::check);
    operator(filters, router.get("/v1/configuration"), false, apis.notes()::configuration);
    operator(filters, router.get("/v1/status"), false, apis.status()::status);
    operator(filters, router.post("/v1/drain"), false, this::drain);
    router.route().handler(filters.requestId()).failureHandler(filters.failures());
    router.route().handler(ctx -> ctx.fail(404)).failureHandler(filters.failures());
    return router;
  }

  private static void work(
      Filters filters, Route route, boolean body, Handler<RoutingContext> handler) {
    Route chain = route.handler(filters.requestId()).handler(filters.ready());
    chain.handler(filters.authenticated());
    finish(filters, chain, body, handler);
  }

  private static void operator(
      Filters filters, Route route, boolean body, Handler<RoutingContext> handler) {
    Route chain = route.handler(filters.requestId()).handler(filters.authenticated());
    chain.handler(filters.operatorOnly());
    finish(filters, chain, body, handler);
  }

  private static void finish(
      Filters filters, Route chain, boolean body, Handler<RoutingContext> handler) {
    if (body) {
      chain.handler(filters.json()).handler(filters.body(Filters.MAX_NOTE_BYTES));
    }
    chain.handler(handler).failureHandler(filters.failures());
  }

  private void metrics(RoutingContext ctx) {
    ctx.response()
        .putHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
        .end(apis.registry().scrape());
  }

  private void drain(RoutingContext ctx) {
    ctx.response()
        .setStatusCode(ACCEPTED)
        .putHeader("content-type", "application/json")
        .end("{\"draining\":true}");
    apis.drain().run();
  }
}
