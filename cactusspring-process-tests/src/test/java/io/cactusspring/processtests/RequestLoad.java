package io.cactusspring.processtests;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests to entry hosts round-robin until it is stopped, and records each response. */
final class RequestLoad {
  private static final String KEY = "counter-key";

  private final String prefix;
  private final List<EntryHost> hosts;
  private final boolean idempotent;
  private final AtomicInteger number = new AtomicInteger();
  private final Queue<SentRequest> sent = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  private RequestLoad(String prefix, List<EntryHost> hosts, boolean idempotent) {
    this.prefix = prefix;
    this.hosts = hosts;
    this.idempotent = idempotent;
  }

  /**
   * A request and its response.
   *
   * @param response null if the connection failed
   */
  record SentRequest(String id, EntryHost host, Http.Response response) {
    boolean isSuccessful() {
      return response != null && response.status() == 200;
    }

    boolean isRefusedAsNotRun() {
      return response != null && response.body().contains("\"ran\":\"NO\"");
    }

    boolean echoesRequest() {
      return response.body().contains("\"request\":\"" + id + "\"")
          && response.body().contains("\"echo\":\"body of " + id + "\"");
    }
  }

  /** Starts concurrent senders, each with at most one request in flight. */
  static RequestLoad start(String prefix, List<EntryHost> hosts, boolean idempotent, int senders) {
    RequestLoad load = new RequestLoad(prefix, List.copyOf(hosts), idempotent);
    for (int i = 0; i < senders; i++) {
      load.threads.add(Thread.ofVirtual().start(load::sendUntilStopped));
    }
    return load;
  }

  /** Waits until {@code count} more requests to the given hosts have succeeded. */
  void awaitSuccesses(int count, List<EntryHost> from) throws Exception {
    long target = successesFrom(from) + count;
    Await.until(count + " more successful responses", () -> successesFrom(from) >= target);
  }

  /** Stops the senders and returns all requests sent. */
  List<SentRequest> stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    return List.copyOf(sent);
  }

  private long successesFrom(List<EntryHost> from) {
    return sent.stream().filter(s -> s.isSuccessful() && from.contains(s.host())).count();
  }

  private void sendUntilStopped() {
    while (!stopped) {
      int n = number.getAndIncrement();
      send(prefix + n, hosts.get(n % hosts.size()));
    }
  }

  private void send(String id, EntryHost host) {
    try {
      sent.add(new SentRequest(id, host, host.request(id, idempotent, KEY)));
    } catch (IOException e) {
      sent.add(new SentRequest(id, host, null));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
