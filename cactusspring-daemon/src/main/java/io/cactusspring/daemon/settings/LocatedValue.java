package io.cactusspring.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON value and the line of the settings file on which it starts. */
sealed interface LocatedValue {
  /** Line on which the value starts; the first line is 1. */
  int line();

  /** An object. The line of a field is that of its value. */
  record ObjectValue(int line, Map<String, LocatedValue> fields) implements LocatedValue {}

  /** An array. */
  record ArrayValue(int line, List<LocatedValue> items) implements LocatedValue {}

  /** A string, a number, true, false or null. */
  record ScalarValue(int line, JsonNode value) implements LocatedValue {}

  /** Reads the value at the parser's current token. */
  static LocatedValue read(JsonParser parser) throws IOException {
    int line = parser.currentTokenLocation().getLineNr();
    return switch (parser.currentToken()) {
      case START_OBJECT -> new ObjectValue(line, readFields(parser));
      case START_ARRAY -> new ArrayValue(line, readItems(parser));
      default -> new ScalarValue(line, parser.readValueAsTree());
    };
  }

  private static Map<String, LocatedValue> readFields(JsonParser parser) throws IOException {
    Map<String, LocatedValue> fields = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      parser.nextToken();
      fields.put(key, read(parser));
    }
    return fields;
  }

  private static List<LocatedValue> readItems(JsonParser parser) throws IOException {
    List<LocatedValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(read(parser));
    }
    return items;
  }

  /** Describes the value for an error message. */
  default String describe() {
    return switch (this) {
      case ObjectValue f -> "an object";
      case ArrayValue i -> "a list";
      case ScalarValue s -> s.value().toString();
    };
  }
}
