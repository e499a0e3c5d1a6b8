package io.cactusspring.daemon;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Fake of the platform's log, its host list and one worker, all on one port. The worker reports
 * each task as succeeded in the next sync, unless {@link #keepTasksRunning} has been called.
 */
final class FakePlatform implements AutoCloseable {
  private static final long POLL_MILLIS = 20;

  private final Vertx vertx = Vertx.vertx();
  private final List<String> records = new CopyOnWriteArrayList<>();
  private final List<String> tasks = new CopyOnWriteArrayList<>();
  private final HttpServer server;
  private volatile boolean keepsTasksRunning;

  FakePlatform() {
    server =
        vertx
            .createHttpServer()
            .requestHandler(r -> r.body().onSuccess(b -> handle(r, b)))
            .listen(0, "127.0.0.1")
            .await();
  }

  String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  void keepTasksRunning() {
    keepsTasksRunning = true;
  }

  private void handle(HttpServerRequest request, Buffer body) {
    switch (request.path()) {
      case "/log/records" -> log(request, body);
      case "/hosts" -> answer(request, hosts());
      case "/tasks" -> {
        tasks.add(body.toJsonObject().getString("task"));
        answer(request, new JsonObject().put("started", true));
      }
      case "/sync" -> answer(request, sync(body.toJsonObject()));
      default -> request.response().setStatusCode(404).end();
    }
  }

  private void log(HttpServerRequest request, Buffer body) {
    if (request.method().name().equals("POST")) {
      int first = records.size() + 1;
      body.toJsonObject().getJsonArray("records").forEach(r -> records.add((String) r));
      answer(
          request,
          new JsonObject().put("firstOffset", first).put("nextOffset", records.size() + 1));
      return;
    }
    int from = Integer.parseInt(request.getParam("from"));
    if (from > records.size()) {
      vertx.setTimer(POLL_MILLIS, t -> answer(request, read(from)));
    } else {
      answer(request, read(from));
    }
  }

  private JsonObject read(int from) {
    List<String> now = new ArrayList<>(records);
    JsonArray found = new JsonArray();
    for (int offset = from; offset <= now.size(); offset++) {
      found.add(new JsonObject().put("offset", offset).put("data", now.get(offset - 1)));
    }
    return new JsonObject().put("records", found).put("earliest", 1).put("next", now.size() + 1);
  }

  private JsonObject hosts() {
    JsonObject worker =
        new JsonObject()
            .put("name", "w1")
            .put("zone", "riga-a")
            .put("rack", "r1")
            .put("address", address())
            .put("total", resources(4_000, 4_096))
            .put("leaving", false);
    return new JsonObject()
        .put("workers", new JsonArray().add(worker))
        .put("endpoints", new JsonArray());
  }

  private static JsonObject resources(int milliProcessors, int memoryMib) {
    return new JsonObject()
        .put("milliProcessors", milliProcessors)
        .put("memoryMib", memoryMib)
        .put("accelerators", 0);
  }

  private JsonObject sync(JsonObject body) {
    body.getJsonArray("forget").forEach(t -> tasks.remove((String) t));
    JsonArray ended = new JsonArray();
    JsonArray running = new JsonArray();
    for (String task : tasks) {
      if (keepsTasksRunning) {
        running.add(
            new JsonObject()
                .put("task", task)
                .put("resources", resources(1_000, 64))
                .put("remainingLeaseMillis", 10_000)
                .put("usage", resources(1_000, 64)));
      } else {
        ended.add(new JsonObject().put("task", task).put("result", "SUCCEEDED"));
      }
    }
    JsonArray missing = new JsonArray();
    body.getJsonArray("renew").stream()
        .filter(t -> running.stream().noneMatch(r -> ((JsonObject) r).getString("task").equals(t)))
        .forEach(missing::add);
    return new JsonObject()
        .put("incarnation", "w1-1")
        .put("running", running)
        .put("ended", ended)
        .put("missing", missing);
  }

  private static void answer(HttpServerRequest request, JsonObject body) {
    request.response().end(body.toBuffer());
  }

  @Override
  public void close() {
    vertx.close().await();
  }
}
