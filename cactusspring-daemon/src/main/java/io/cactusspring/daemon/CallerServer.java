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

/** HTTP server for callers, operators, the load balancer and Prometheus. */
final class CallerServer {
  private static final int ACCEPTED = 202;

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final Dependencies dependencies;
  private final HttpServer server;

  /** Handlers of the routes and the objects that they share. */
  record Dependencies(
      CellView view,
      RefusalWriter refusals,
      PrometheusMeterRegistry registry,
      RequestService requests,
      SubmissionApi submissions,
      NoteApi notes,
      StatusApi status,
      Runnable drain) {}

  CallerServer(Vertx vertx, DaemonSettings settings, Dependencies dependencies) {
    this.settings = settings;
    this.dependencies = dependencies;
    this.vertx = vertx;
    this.server =
        new CallerPort(vertx, settings, dependencies.registry()).createServer(router(vertx));
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
    Filters filters = new Filters(dependencies.view(), dependencies.refusals());
    dependencies.requests().mount(router);
    router.get("/health/live").handler(dependencies.status()::live);
    router.get("/health/ready").handler(dependencies.status()::ready);
    router.get("/metrics").handler(this::metrics);
    addCallerRoute(
        filters, router.post("/v1/submissions"), true, dependencies.submissions()::submit);
    addCallerRoute(
        filters, router.get("/v1/submissions/:id"), false, dependencies.submissions()::status);
    addCallerRoute(
        filters,
        router.post("/v1/submissions/:id/cancel"),
        false,
        dependencies.submissions()::cancel);
    addOperatorRoute(filters, router.post("/v1/notes"), true, dependencies.notes()::apply);
    addOperatorRoute(filters, router.post("/v1/notes/check"), true, dependencies.notes()::check);
    addOperatorRoute(
        filters, router.get("/v1/configuration"), false, dependencies.notes()::configuration);
    addOperatorRoute(filters, router.get("/v1/status"), false, dependencies.status()::status);
    addOperatorRoute(filters, router.post("/v1/drain"), false, this::drain);
    router.route().handler(filters.requestId()).failureHandler(filters.failures());
    router.route().handler(ctx -> ctx.fail(404)).failureHandler(filters.failures());
    return router;
  }

  private static void addCallerRoute(
      Filters filters, Route route, boolean hasBody, Handler<RoutingContext> handler) {
    Route chain = route.handler(filters.requestId()).handler(filters.ready());
    chain.handler(filters.authenticated());
    addHandler(filters, chain, hasBody, handler);
  }

  private static void addOperatorRoute(
      Filters filters, Route route, boolean hasBody, Handler<RoutingContext> handler) {
    Route chain = route.handler(filters.requestId()).handler(filters.authenticated());
    chain.handler(filters.operatorOnly());
    addHandler(filters, chain, hasBody, handler);
  }

  private static void addHandler(
      Filters filters, Route chain, boolean hasBody, Handler<RoutingContext> handler) {
    if (hasBody) {
      chain.handler(filters.json()).handler(filters.body(Filters.MAX_NOTE_BYTES));
    }
    chain.handler(handler).failureHandler(filters.failures());
  }

  private void metrics(RoutingContext ctx) {
    ctx.response()
        .putHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
        .end(dependencies.registry().scrape());
  }

  private void drain(RoutingContext ctx) {
    ctx.response()
        .setStatusCode(ACCEPTED)
        .putHeader("content-type", "application/json")
        .end("{\"draining\":true}");
    dependencies.drain().run();
  }
}
