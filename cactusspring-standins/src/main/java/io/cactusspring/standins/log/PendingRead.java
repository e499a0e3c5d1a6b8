package io.cactusspring.standins.log;

import io.vertx.ext.web.RoutingContext;

/** A long-polling read that completes when records are appended or its wait expires. */
record PendingRead(RoutingContext context, long from, int limit) {}
