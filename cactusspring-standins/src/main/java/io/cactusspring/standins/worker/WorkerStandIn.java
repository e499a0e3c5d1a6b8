package io.cactusspring.standins.worker;

import io.cactusspring.standins.hosts.Resources;
import io.cactusspring.standins.http.ErrorBody;
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
 * Serves the agents of one or more identical workers on consecutive ports.
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
   * The number of agents and the capacity of their workers.
   *
   * @param count the number of agents
   * @param total the capacity of each worker
   * @param usageLagMillis the delay in milliseconds before a task's usage is reported
   * @param seed the seed of the simulated resource usage
   * @since 0.1
   */
  public record WorkerOptions(int count, Resources total, long usageLagMillis, long seed) {
    /**
     * @throws IllegalArgumentException if {@code count} is not positive
     */
    public WorkerOptions {
      if (count < 1) {
        throw new IllegalArgumentException("count is " + count + "; expected 1 or more");
      }
    }
  }

  /**
   * Starts the servers: the first agent on the given address, each further one on the next port.
   *
   * @return the port of the first agent
   * @throws StandInException if a server cannot listen on its address
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
      server.post("/tasks", StartBody.class, this::onStart);
      server.post("/sync", SyncBody.class, this::onSync);
      server.postForResult("/admin", WorkerSettings.class, this::applySettings);
      server.get("/admin/violations", table::violations);
      server.get("/admin/history", this::history);
    }

    private void onStart(RoutingContext context, StartBody body) {
      long receivedNanos = System.nanoTime();
      if (startDelayMillis <= 0) {
        start(context, body, receivedNanos);
      } else {
        vertx.setTimer(startDelayMillis, id -> start(context, body, receivedNanos));
      }
    }

    private void start(RoutingContext context, StartBody body, long receivedNanos) {
      if (failStarts) {
        ErrorBody error = new ErrorBody("task not started: failStarts is set");
        JsonServer.respond(context, HttpStatus.SERVER_ERROR, error);
        return;
      }
      try {
        boolean started = table.start(body, receivedNanos, System.nanoTime());
        JsonServer.respond(context, HttpStatus.OK, new StartAnswer(started));
      } catch (StaleEpochException e) {
        respondStaleEpoch(context, e);
      }
    }

    private void onSync(RoutingContext context, SyncBody body) {
      try {
        JsonServer.respond(context, HttpStatus.OK, table.sync(body, System.nanoTime()));
      } catch (StaleEpochException e) {
        respondStaleEpoch(context, e);
      }
    }

    private static void respondStaleEpoch(RoutingContext context, StaleEpochException e) {
      JsonServer.respond(context, HttpStatus.CONFLICT, new EpochConflict(e.highestEpoch()));
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
