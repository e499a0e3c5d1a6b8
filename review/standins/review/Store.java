package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import review.Web.Response;

/**
 * Stand-in of the platform's store: partitions with conditional and fenced appends, long reads, and
 * the newest record of each key, as PROTOCOL.md describes them.
 */
final class Store {
  static final int RECORD_BYTES = 262_144;
  static final int REQUEST_BYTES = 2_097_152;
  private static final long APPEND_MILLIS = 3;
  private static final int PAGE_RECORDS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final int REPEATS = 5;

  private record Newest(byte[] value, long offset) {}

  private static final class Producer {
    private long epoch = -1;
    private long sequence = -1;
    private final TreeMap<Long, long[]> answers = new TreeMap<>();
  }

  private static final class Partition {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Newest> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();
    private final Object turn = new Object();
  }

  private final Web web;
  private final Record record;
  private final Map<String, Partition> partitions = new HashMap<>();
  private volatile boolean down;
  private long tooLarge;

  Store(Record record) throws IOException {
    this.record = record;
    web = new Web(this::handle);
  }

  String address() {
    return web.address();
  }

  /** While down, the store answers 503 to every call, which has no effect. */
  void down(boolean value) {
    down = value;
    record.tell("store %s", value ? "down (503)" : "up");
  }

  /** Returns the number of appends that were refused because of their size. */
  synchronized long tooLarge() {
    return tooLarge;
  }

  void close() {
    web.close();
  }

  /** Writes a record of the operators or of an executor; null removes the key. */
  void put(String topic, String key, ObjectNode value) throws IOException {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value == null ? new byte[0] : Web.MAPPER.writeValueAsBytes(value);
    ByteBuffer content = ByteBuffer.allocate(1 + name.length + bytes.length);
    content.put((byte) name.length).put(name).put(bytes);
    Partition partition = partition(topic + "/0");
    synchronized (partition) {
      append(partition, content.array());
      partition.notifyAll();
    }
  }

  private synchronized Partition partition(String name) {
    return partitions.computeIfAbsent(name, n -> new Partition());
  }

  private static void append(Partition partition, byte[] content) {
    long offset = partition.records.size();
    partition.records.add(content);
    int keyLength = content[0] & 0xff;
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    if (content.length == 1 + keyLength) {
      partition.newest.remove(key);
    } else {
      byte[] value = new byte[content.length - 1 - keyLength];
      System.arraycopy(content, 1 + keyLength, value, 0, value.length);
      partition.newest.put(key, new Newest(value, offset));
    }
  }

  private Response handle(HttpExchange exchange, byte[] body) throws Exception {
    if (down) {
      return new Response(503, new byte[0]);
    }
    Map<String, String> query = Web.query(exchange);
    String name = query.get("topic") + "/" + query.getOrDefault("part", "0");
    String path = exchange.getRequestURI().getPath();
    if (path.equals(Wire.APPEND)) {
      return append(name, query, body);
    }
    if (path.equals(Wire.READ)) {
      return read(partition(name), query);
    }
    return path.equals(Wire.NEWEST)
        ? newest(partition(name), query)
        : new Response(404, new byte[0]);
  }

  private Response append(String name, Map<String, String> query, byte[] body) throws Exception {
    List<byte[]> contents = new ArrayList<>();
    ByteBuffer left = ByteBuffer.wrap(body);
    while (left.hasRemaining()) {
      byte[] content = new byte[left.getInt()];
      left.get(content);
      contents.add(content);
      if (content.length > RECORD_BYTES || body.length > REQUEST_BYTES) {
        synchronized (this) {
          if (tooLarge++ % 20 == 0) {
            record.line(
                "store refuses an append to %s: record of %d bytes, request of %d bytes",
                name, content.length, body.length);
          }
        }
        return new Response(413, new byte[0]);
      }
    }
    Partition partition = partition(name);
    synchronized (partition.turn) {
      Thread.sleep(APPEND_MILLIS);
      synchronized (partition) {
        return append(partition, query, contents);
      }
    }
  }

  private static Response append(
      Partition partition, Map<String, String> query, List<byte[]> contents) throws IOException {
    long end = partition.records.size();
    Producer producer = null;
    long sequence = 0;
    if (query.containsKey("producer")) {
      producer = partition.producers.computeIfAbsent(query.get("producer"), p -> new Producer());
      long epoch = Long.parseLong(query.get("epoch"));
      sequence = Long.parseLong(query.get("seq"));
      if (epoch < producer.epoch) {
        return Web.json(409, Web.object().put("reason", "fenced"));
      }
      if (epoch > producer.epoch) {
        producer.epoch = epoch;
        producer.sequence = sequence - 1;
        producer.answers.clear();
      }
      long[] before = producer.answers.get(sequence);
      if (before != null) {
        return Web.json(200, Web.object().put("offset", before[0]).put("end", before[1]));
      }
      if (sequence != producer.sequence + 1) {
        return Web.json(
            409, Web.object().put("reason", "seq").put("seq", producer.sequence + 1));
      }
    }
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
      return Web.json(412, Web.object().put("end", end));
    }
    contents.forEach(c -> append(partition, c));
    long after = partition.records.size();
    if (producer != null) {
      producer.sequence = sequence;
      producer.answers.put(sequence, new long[] {end, after});
      if (producer.answers.size() > REPEATS) {
        producer.answers.pollFirstEntry();
      }
    }
    partition.notifyAll();
    return Web.json(200, Web.object().put("offset", end).put("end", after));
  }

  private Response read(Partition partition, Map<String, String> query) throws Exception {
    long from = Long.parseLong(query.get("from"));
    int maxBytes = 1_024 * Integer.parseInt(query.getOrDefault("max_kb", "1024"));
    long until =
        System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
    synchronized (partition) {
      while (partition.records.size() <= from) {
        long wait = (until - System.nanoTime()) / 1_000_000;
        if (wait <= 0) {
          break;
        }
        partition.wait(wait);
      }
      if (down) {
        return new Response(503, new byte[0]);
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      body.writeBytes(
          ByteBuffer.allocate(16).putLong(partition.records.size()).putLong(0).array());
      for (long i = from; i < partition.records.size() && body.size() < maxBytes; i++) {
        byte[] content = partition.records.get((int) i);
        body.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
        body.writeBytes(content);
      }
      return new Response(200, body.toByteArray());
    }
  }

  private static Response newest(Partition partition, Map<String, String> query)
      throws IOException {
    synchronized (partition) {
      ObjectNode body = Web.object();
      ArrayNode items = body.putArray("items");
      int bytes = 0;
      boolean more = false;
      for (Map.Entry<String, Newest> e :
          partition.newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
        if (items.size() >= PAGE_RECORDS || bytes >= PAGE_BYTES) {
          more = true;
          break;
        }
        bytes += e.getValue().value().length;
        items
            .addObject()
            .put("key", e.getKey())
            .put("value", Base64.getEncoder().encodeToString(e.getValue().value()))
            .put("offset", e.getValue().offset());
      }
      return Web.json(200, body.put("more", more).put("end", partition.records.size()));
    }
  }
}
