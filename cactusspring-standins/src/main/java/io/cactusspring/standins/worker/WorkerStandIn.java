package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Resources;
import io.cactusspring.standins.http.ErrorResponse;
import io.cactusspring.standins.http.HttpStatus;
import io.cactusspring.standins.http.JsonServer;
import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.StandInException;
import io.vertx.core.Vertx;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;

/**
 * Serves the agents of one or more workers of equal size on consecutive ports.
 *
 * <pre>{@code
 * WorkerStandIn workers = new WorkerStandIn(vertx, new WorkerOptions(2, total, 1_000, 7));
 * workers.listen(ListenAddress.parse("127.0.0.1:8001"));
 * }</pre>
 *
 * @since 0.1
 */
public final class WorkerStandIn implements AutoCloseable {
  private static final long ADVANCE_INTERVAL_MILLIS = 100;

  private final Vertx vertx;
  private final List<Agent> agents;
  private final long timer;

  public WorkerStandIn(Vertx vertx, WorkerOptions options) {
    this.vertx = vertx;
    RunRegistry registry = new RunRegistry();
    agents = new ArrayList<>();
    for (int i = 0; i < options.count(); i++) {
      Random random = new Random(options.seed() + i);
      String incarnation = UUID.randomUUID().toString();
      TaskTable table =
          new TaskTable(incarnation, options.total(), options.usageLagMillis(), registry, random);
      agents.add(new Agent(vertx, table));
    }
    timer =
        vertx.setPeriodic(
            ADVANCE_INTERVAL_MILLIS, id -> agents.forEach(a -> a.table.advance(System.nanoTime())));
  }

  /**
   * How many agents are served and of which size.
   *
   * @param count the number of agents
   * @param total the size of each worker
   * @param usageLagMillis how long a task's usage stays unknown
   * @param seed the seed of what the tasks really use
   * @since 0.1
   */
  public record WorkerOptions(int count, Resources total, long usageLagMillis, long seed) {
    /**
     * @throws IllegalArgumentException if the count is not positive
     */
    public WorkerOptions {
      if (count < 1) {
        throw new IllegalArgumentException("count is " + count + "; expected 1 or more");
      }
    }
  }

  /**
   * Starts to serve, the first agent at the address and each next one a port higher.
   *
   * @return the port of the first agent
   * @throws StandInException if an address can't be used
   */
  public int listen(ListenAddress address) throws StandInException {
    int port = agents.get(0).server.listen(address);
    for (int i = 1; i < agents.size(); i++) {
      agents.get(i).server.listen(new ListenAddress(address.host(), port).plus(i));
    }
    return port;
  }

  @Override
  public void close() {
    vertx.cancelTimer(timer);
    agents.forEach(a -> a.server.close());
  }

  private static final class Agent {
    private final Vertx vertx;
    private final TaskTable table;
    private final JsonServer server;
    private volatile boolean failStarts;
    private volatile long startDelayMillis;

    Agent(Vertx vertx, TaskTable table) {
      this.vertx = vertx;
      this.table = table;
      server = new JsonServer(vertx);
      server.post("/tasks", StartRequest.class, this::onStart);
      server.post("/sync", SyncRequest.class, this::onSync);
      server.postForResult("/admin", WorkerSettings.class, this::applySettings);
      server.get("/admin/violations", table::violations);
      server.get("/admin/history", this::history);
    }

    private void onStart(RoutingContext context, StartRequest body) {
      long receivedNanos = System.nanoTime();
      if (startDelayMillis <= 0) {
        start(context, body, receivedNanos);
      } else {
        vertx.setTimer(startDelayMillis, id -> start(context, body, receivedNanos));
      }
    }

    private void start(RoutingContext context, StartRequest body, long receivedNanos) {
      if (failStarts) {
        ErrorResponse error = new ErrorResponse("this worker fails all starts");
        JsonServer.respond(context, HttpStatus.SERVER_ERROR, error);
        return;
      }
      try {
        boolean started = table.start(body, receivedNanos, System.nanoTime());
        JsonServer.respond(context, HttpStatus.OK, new StartResponse(started));
      } catch (StaleEpochException e) {
        respondStaleEpoch(context, e);
      }
    }

    private void onSync(RoutingContext context, SyncRequest body) {
      try {
        JsonServer.respond(context, HttpStatus.OK, table.sync(body, System.nanoTime()));
      } catch (StaleEpochException e) {
        respondStaleEpoch(context, e);
      }
    }

    private static void respondStaleEpoch(RoutingContext context, StaleEpochException e) {
      JsonServer.respond(context, HttpStatus.CONFLICT, new StaleEpochResponse(e.highestEpoch()));
    }

    private WorkerSettings applySettings(WorkerSettings settings) {
      failStarts = settings.failStarts() == null ? failStarts : settings.failStarts();
      startDelayMillis =
          settings.startDelayMillis() == null ? startDelayMillis : settings.startDelayMillis();
      return new WorkerSettings(failStarts, startDelayMillis);
    }

    private List<HistoryEvent> history() {
      table.advance(System.nanoTime());
      return table.history();
    }
  }
}
