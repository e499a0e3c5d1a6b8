package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/** The platform's store: a log of topics with partitions, as PROTOCOL.md describes it. */
final class Store {
  private static final int PAGE = 500;

  private static final class Partition {
    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Integer> newest = new TreeMap<>();
    private long epoch = -1;
    private long sequence;
    private final Map<Long, byte[]> lastAnswers = new HashMap<>();
  }

  private final Map<String, Partition> partitions = new HashMap<>();
  private final int port = Wire.freePort();

  /** Delay of each answer in milliseconds, by topic. */
  volatile ToLongFunction<String> delayMillis = topic -> 4;

  void start() throws IOException {
    Wire.serve(port, this::handle);
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Writes a record of a keyed topic, as an operator or an executor does; null deletes the key. */
  synchronized void put(String topic, String key, ObjectNode value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] body = value == null ? new byte[0] : Wire.Answer.json(200, value).body();
    byte[] record =
        ByteBuffer.allocate(1 + name.length + body.length)
            .put((byte) name.length)
            .put(name)
            .put(body)
            .array();
    add(partition(topic, "0"), record, true);
    notifyAll();
  }

  private Partition partition(String topic, String part) {
    return partitions.computeIfAbsent(topic + "/" + part, p -> new Partition());
  }

  private static void add(Partition partition, byte[] record, boolean keyed) {
    if (keyed) {
      int length = record[0] & 0xff;
      String key = new String(record, 1, length, StandardCharsets.UTF_8);
      if (record.length == 1 + length) {
        partition.newest.remove(key);
      } else {
        partition.newest.put(key, partition.records.size());
      }
    }
    partition.records.add(record);
  }

  private Wire.Answer handle(HttpExchange request, byte[] body) throws Exception {
    Map<String, String> query = Wire.query(request);
    String topic = query.get("topic");
    long delay = delayMillis.applyAsLong(topic);
    String path = request.getRequestURI().getPath();
    Wire.Answer answer;
    if (path.equals(Names.APPEND)) {
      answer = append(query, topic, body);
    } else if (path.equals(Names.READ)) {
      answer = read(query, topic);
    } else if (path.equals(Names.NEWEST)) {
      answer = newest(query, topic);
    } else {
      answer = new Wire.Answer(404, new byte[0]);
    }
    Thread.sleep(delay);
    return answer;
  }

  private synchronized Wire.Answer append(Map<String, String> query, String topic, byte[] body) {
    Partition partition = partition(topic, query.get("part"));
    int end = partition.records.size();
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
      return Wire.Answer.json(412, Wire.object().put("end", end));
    }
    long sequence = 0;
    if (query.containsKey("producer")) {
      long epoch = Long.parseLong(query.get("epoch"));
      sequence = Long.parseLong(query.getOrDefault("seq", "0"));
      if (epoch < partition.epoch) {
        return Wire.Answer.json(409, Wire.object().put("reason", "fenced"));
      }
      if (epoch == partition.epoch) {
        byte[] before = partition.lastAnswers.get(sequence);
        if (before != null) {
          return new Wire.Answer(200, before);
        }
        if (sequence != partition.sequence + 1) {
          return Wire.Answer.json(
              409, Wire.object().put("reason", "seq").put("seq", partition.sequence + 1));
        }
      } else {
        partition.epoch = epoch;
        partition.lastAnswers.clear();
      }
      partition.sequence = sequence;
    }
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] record = new byte[records.getInt()];
      records.get(record);
      add(partition, record, topic.startsWith("keyed."));
    }
    notifyAll();
    Wire.Answer answer =
        Wire.Answer.json(
            200, Wire.object().put("offset", end).put("end", partition.records.size()));
    if (query.containsKey("producer")) {
      partition.lastAnswers.put(sequence, answer.body());
      partition.lastAnswers.remove(sequence - 5);
    }
    return answer;
  }

  private synchronized Wire.Answer read(Map<String, String> query, String topic) throws Exception {
    Partition partition = partition(topic, query.get("part"));
    int from = Integer.parseInt(query.get("from"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    while (partition.records.size() <= from && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(partition.records.size());
    out.writeLong(0);
    long left = Long.parseLong(query.getOrDefault("max_kb", "1024")) * 1024;
    for (int i = from; i < partition.records.size() && left > 0; i++) {
      byte[] record = partition.records.get(i);
      out.writeInt(record.length);
      out.write(record);
      left -= record.length;
    }
    return new Wire.Answer(200, bytes.toByteArray());
  }

  private synchronized Wire.Answer newest(Map<String, String> query, String topic) {
    Partition partition = partition(topic, query.get("part"));
    String after = query.getOrDefault("after", "");
    ObjectNode body = Wire.object();
    ArrayNode items = body.putArray("items");
    boolean more = false;
    for (Map.Entry<String, Integer> entry : partition.newest.entrySet()) {
      if (entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() == PAGE) {
        more = true;
        break;
      }
      byte[] record = partition.records.get(entry.getValue());
      int length = 1 + (record[0] & 0xff);
      byte[] value = java.util.Arrays.copyOfRange(record, length, record.length);
      items
          .addObject()
          .put("key", entry.getKey())
          .put("value", Base64.getEncoder().encodeToString(value))
          .put("offset", entry.getValue().intValue());
    }
    return Wire.Answer.json(200, body.put("more", more).put("end", partition.records.size()));
  }
}
