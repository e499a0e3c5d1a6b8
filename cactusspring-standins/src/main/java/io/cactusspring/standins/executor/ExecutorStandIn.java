package io.cactusspring.standins.executor;

import io.cactusspring.standins.http.ListenAddress;
import io.cactusspring.standins.http.StandInException;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Serves one or more identical executors on consecutive ports.
 *
 * <pre>{@code
 * ExecutorOptions options = new ExecutorOptions("x1", 1, 8, 60, 2, 7);
 * new ExecutorStandIn(vertx, options).listen(ListenAddress.parse("127.0.0.1:8101"));
 * }</pre>
 *
 * @since 0.1
 */
public final class ExecutorStandIn implements AutoCloseable {
  private final List<Executor> executors;

  public ExecutorStandIn(Vertx vertx, ExecutorOptions options) {
    executors =
        IntStream.range(0, options.count()).mapToObj(i -> new Executor(vertx, options, i)).toList();
  }

  /**
   * Starts the servers: the first executor on the given address, each further one on the next port.
   *
   * @return the port of the first executor
   * @throws StandInException if a server cannot listen on its address
   */
  public int listen(ListenAddress address) throws StandInException {
    int port = executors.get(0).listen(address);
    for (int i = 1; i < executors.size(); i++) {
      executors.get(i).listen(new ListenAddress(address.host(), port).plus(i));
    }
    return port;
  }

  @Override
  public void close() {
    executors.forEach(Executor::close);
  }
}
