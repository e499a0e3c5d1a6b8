package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Stand-in of the platform's store, as the section "The platform's metadata store" of PROTOCOL.md
 * describes it. Each process has a port of its own, so that a single one can be treated apart.
 */
final class Store implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();

  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final long APPEND_MILLIS = 3;

  /** How the store treats a call. */
  enum Treatment {
    SERVED,
    /** 503; nothing is done. */
    REFUSED,
    /** The call is carried out, and its channel is closed without an answer. */
    ANSWER_LOST,
    /** Nothing is done, and there is no answer. */
    SILENT
  }

  /** Decides how a call of a process is treated. */
  interface Policy {
    Treatment treatment(String process, Http.Request request);
  }

  private record Item(String key, byte[] value, long offset) {}

  private record Done(long sequence, long offset, long end) {}

  private static final class Partition {
    final ReentrantLock appends = new ReentrantLock(true);
    final ReentrantLock lock = new ReentrantLock();
    final Condition grown = lock.newCondition();
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Item> newest = new TreeMap<>();
    final List<Done> lastAppends = new ArrayList<>();
    long first;
    long epoch = Long.MIN_VALUE;

    long end() {
      return first + records.size();
    }
  }

  private final Map<String, Partition> partitions = new ConcurrentHashMap<>();
  private final Map<String, Http> ports = new LinkedHashMap<>();
  private volatile long answerMillis = 4;
  private volatile Policy policy = (process, request) -> Treatment.SERVED;
  private volatile String lastConditionalWriter = "";

  /** Opens the port of a process and returns its address. */
  String open(String process) throws IOException {
    Http http = new Http(0, request -> handle(process, request));
    ports.put(process, http);
    return http.address();
  }

  /** Sets how long an answer takes. */
  void answerMillis(long millis) {
    answerMillis = millis;
  }

  void policy(Policy value) {
    policy = value;
  }

  /** Returns the process whose write under a condition was stored last. */
  String lastConditionalWriter() {
    return lastConditionalWriter;
  }

  /** Writes a record of the operator or of an executor; a null value drops the key. */
  void put(String topic, String key, byte[] value) {
    Partition partition = partition(topic, "0");
    partition.lock.lock();
    try {
      append(partition, record(key, value == null ? new byte[0] : value));
    } finally {
      partition.lock.unlock();
    }
  }

  private Partition partition(String topic, String part) {
    return partitions.computeIfAbsent(topic + "/" + part, n -> new Partition());
  }

  private static byte[] record(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length + value.length)
        .put((byte) name.length)
        .put(name)
        .put(value)
        .array();
  }

  private Http.Reply handle(String process, Http.Request request) throws Exception {
    Treatment treatment = policy.treatment(process, request);
    long millis = answerMillis;
    if (treatment == Treatment.SILENT) {
      Thread.sleep(60_000);
      return null;
    }
    if (treatment == Treatment.REFUSED) {
      return Http.Reply.text(503, "{}");
    }
    Thread.sleep(millis / 2);
    Partition partition = partition(request.query().get("topic"), request.query().get("part"));
    Http.Reply reply =
        switch (Names.callOf(request.path())) {
          case "append" -> append(process, request, partition);
          case "read" -> read(request, partition);
          case "newest" -> newest(request, partition);
          default -> Http.Reply.text(404, "{}");
        };
    Thread.sleep(millis - millis / 2);
    return treatment == Treatment.ANSWER_LOST ? null : reply;
  }

  private Http.Reply append(String process, Http.Request request, Partition partition)
      throws InterruptedException {
    Map<String, String> query = request.query();
    // A partition processes its appends one at a time.
    partition.appends.lock();
    try {
      Thread.sleep(APPEND_MILLIS);
      partition.lock.lock();
      try {
        return append(process, query, request.body(), partition);
      } finally {
        partition.lock.unlock();
      }
    } finally {
      partition.appends.unlock();
    }
  }

  private Http.Reply append(
      String process, Map<String, String> query, byte[] body, Partition partition) {
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != partition.end()) {
      return Http.Reply.text(412, "{\"end\":" + partition.end() + "}");
    }
    if (query.containsKey("producer")) {
      long epoch = Long.parseLong(query.get("epoch"));
      long sequence = Long.parseLong(query.getOrDefault("seq", "0"));
      if (epoch < partition.epoch) {
        return Http.Reply.text(409, "{\"reason\":\"fenced\"}");
      }
      if (epoch > partition.epoch) {
        partition.epoch = epoch;
        partition.lastAppends.clear();
      } else if (!partition.lastAppends.isEmpty()) {
        for (Done done : partition.lastAppends) {
          if (done.sequence == sequence) {
            return appended(done.offset, done.end);
          }
        }
        long expected = partition.lastAppends.getLast().sequence + 1;
        if (sequence != expected) {
          return Http.Reply.text(409, "{\"reason\":\"seq\",\"seq\":" + expected + "}");
        }
      }
    }
    long offset = partition.end();
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.remaining() >= Integer.BYTES) {
      byte[] record = new byte[records.getInt()];
      records.get(record);
      append(partition, record);
    }
    if (query.containsKey("producer")) {
      partition.lastAppends.add(
          new Done(Long.parseLong(query.get("seq")), offset, partition.end()));
      if (partition.lastAppends.size() > 5) {
        partition.lastAppends.removeFirst();
      }
    }
    if (query.containsKey("at") || query.containsKey("producer")) {
      lastConditionalWriter = process;
    }
    return appended(offset, partition.end());
  }

  private static Http.Reply appended(long offset, long end) {
    return Http.Reply.text(200, "{\"offset\":" + offset + ",\"end\":" + end + "}");
  }

  /** Appends a record of a keyed topic; the partition's lock is held. */
  private static void append(Partition partition, byte[] record) {
    int length = record[0] & 0xff;
    String key = new String(record, 1, length, StandardCharsets.UTF_8);
    byte[] value = new byte[record.length - 1 - length];
    System.arraycopy(record, 1 + length, value, 0, value.length);
    long offset = partition.end();
    partition.records.add(record);
    if (value.length == 0) {
      partition.newest.remove(key);
    } else {
      partition.newest.put(key, new Item(key, value, offset));
    }
    partition.grown.signalAll();
  }

  private static Http.Reply read(Http.Request request, Partition partition)
      throws InterruptedException {
    long from = Long.parseLong(request.query().get("from"));
    long left =
        TimeUnit.MILLISECONDS.toNanos(
            Long.parseLong(request.query().getOrDefault("wait_ms", "0")));
    long most = Long.parseLong(request.query().getOrDefault("max_kb", "1024")) * 1_024;
    partition.lock.lock();
    try {
      while (from >= partition.end() && left > 0) {
        left = partition.grown.awaitNanos(left);
      }
      if (from < partition.first) {
        return Http.Reply.text(410, "{\"first\":" + partition.first + "}");
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      body.writeBytes(
          ByteBuffer.allocate(16).putLong(partition.end()).putLong(partition.first).array());
      for (long i = from; i < partition.end() && body.size() < most; i++) {
        byte[] record = partition.records.get((int) (i - partition.first));
        body.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
        body.writeBytes(record);
      }
      return new Http.Reply(200, body.toByteArray());
    } finally {
      partition.lock.unlock();
    }
  }

  private static Http.Reply newest(Http.Request request, Partition partition) throws IOException {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode items = body.putArray("items");
    String after = request.query().get("after");
    partition.lock.lock();
    try {
      Map<String, Item> rest =
          after == null ? partition.newest : partition.newest.tailMap(after, false);
      long bytes = 0;
      boolean more = false;
      for (Item item : rest.values()) {
        if (items.size() == PAGE_ITEMS || bytes > PAGE_BYTES) {
          more = true;
          break;
        }
        bytes += item.value.length;
        items
            .addObject()
            .put("key", item.key)
            .put("value", Base64.getEncoder().encodeToString(item.value))
            .put("offset", item.offset);
      }
      body.put("more", more).put("end", partition.end());
    } finally {
      partition.lock.unlock();
    }
    return new Http.Reply(200, JSON.writeValueAsBytes(body));
  }

  /** Drops the history of all partitions; the newest record of each key is retained. */
  void dropHistory() {
    partitions
        .values()
        .forEach(
            p -> {
              p.lock.lock();
              try {
                p.first = p.end();
                p.records.clear();
              } finally {
                p.lock.unlock();
              }
            });
  }

  @Override
  public void close() {
    ports.values().forEach(Http::close);
  }
}
