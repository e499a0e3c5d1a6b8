package io.cactusspring.jobs.port;

import io.vertx.core.Future;
import java.util.function.Function;

/**
 * Opens and accepts links between entry hosts.
 *
 * @since 0.2
 */
public interface PeerNetwork {
  /** Thrown when no process listens at an address, although its host answers. */
  final class NothingListensException extends Exception {
    private static final long serialVersionUID = 1L;

    public NothingListensException(String address) {
      super("nothing listens at " + address, null, false, false);
    }
  }

  /**
   * Opens a link.
   *
   * @param address host and port of the other entry host
   * @param handler creates the handler of the link
   * @return fails with {@link NothingListensException} if no process listens there, otherwise with
   *     another exception
   */
  Future<PeerLink> connect(String address, Function<PeerLink, PeerLink.Handler> handler);

  /** Sets the handler of links that other hosts open. */
  void onAccept(Function<PeerLink, PeerLink.Handler> handler);
}
