package io.cactusspring.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON value that knows the line on which it starts. */
sealed interface Located {
  int line();

  /** An object; each key has the line of its value. */
  record Fields(int line, Map<String, Located> fields) implements Located {}

  /** An array. */
  record Items(int line, List<Located> items) implements Located {}

  /** A text, a number, true, false or null. */
  record Scalar(int line, JsonNode value) implements Located {}

  /** Reads the value at the parser's current token. */
  static Located read(JsonParser parser) throws IOException {
    int line = parser.currentTokenLocation().getLineNr();
    return switch (parser.currentToken()) {
      case START_OBJECT -> new Fields(line, readFields(parser));
      case START_ARRAY -> new Items(line, readItems(parser));
      default -> new Scalar(line, parser.readValueAsTree());
    };
  }

  private static Map<String, Located> readFields(JsonParser parser) throws IOException {
    Map<String, Located> fields = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      parser.nextToken();
      fields.put(key, read(parser));
    }
    return fields;
  }

  private static List<Located> readItems(JsonParser parser) throws IOException {
    List<Located> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(read(parser));
    }
    return items;
  }

  /** Describes the value for a message. */
  default String describe() {
    return switch (this) {
      case Fields f -> "an object";
      case Items i -> "a list";
      case Scalar s -> s.value().toString();
    };
  }
}
