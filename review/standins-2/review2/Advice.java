package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/** The advice service. It refuses a call that names more than 100 workers, the most it takes. */
final class Advice {
  private static final int MAX_WORKERS = 100;

  final int port = Wire.freePort();
  private final Journal journal;
  private final int decideMillis;
  private final double eachMillis;
  private final int validityMillis;
  private final Predicate<String> allowed;
  private final Map<String, Long> validUntil = new ConcurrentHashMap<>();
  private final AtomicLong lastTicket = new AtomicLong();
  final AtomicLong answered = new AtomicLong();
  final AtomicLong refused = new AtomicLong();

  Advice(
      Journal journal,
      int decideMillis,
      double eachMillis,
      int validityMillis,
      Predicate<String> allowed) {
    this.journal = journal;
    this.decideMillis = decideMillis;
    this.eachMillis = eachMillis;
    this.validityMillis = validityMillis;
    this.allowed = allowed;
  }

  void start() throws IOException {
    Wire.serve(port, (request, body) -> advise(Wire.read(body)));
  }

  ObjectNode settings() {
    return Wire.object()
        .put("decide_ms", decideMillis)
        .put("each_ms", eachMillis)
        .put("validity_ms", validityMillis);
  }

  private Wire.Answer advise(JsonNode question) throws InterruptedException {
    String step = question.path("step").asText();
    int workers = question.path("workers").size();
    if (workers > MAX_WORKERS) {
      refused.incrementAndGet();
      journal.line("advice for %s: %d workers are named, 400", step, workers);
      return Wire.Answer.json(400, Wire.object());
    }
    Thread.sleep(Math.round(decideMillis + eachMillis * workers));
    ObjectNode answer = Wire.object().put("validity_ms", validityMillis);
    ArrayNode rows = answer.putArray("allowed");
    for (JsonNode worker : question.path("workers")) {
      if (allowed.test(worker.asText())) {
        String ticket = lastTicket.incrementAndGet() + "@" + step + "@" + worker.asText();
        validUntil.put(ticket, System.nanoTime() + validityMillis * 1_000_000L);
        rows.addArray().add(worker.asText()).add(ticket);
      }
    }
    answered.incrementAndGet();
    journal.line("advice for %s: %d of %d workers allowed", step, rows.size(), workers);
    return Wire.Answer.json(200, answer);
  }

  /** Returns whether a ticket permits a task on an executor now. */
  boolean permits(String ticket, String task, String executor) {
    Long until = validUntil.get(ticket);
    String step = task.substring(0, task.lastIndexOf('.'));
    return until != null
        && System.nanoTime() < until
        && ticket.endsWith("@" + step + "@" + executor);
  }
}
