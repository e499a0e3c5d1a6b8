package io.cactusspring.standins.log;

import io.vertx.ext.web.RoutingContext;

/** A read that is answered when records arrive or its wait ends. */
record PendingRead(RoutingContext context, long from, int limit) {}
