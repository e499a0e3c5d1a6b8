package io.cactusspring.standins.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and writes the typed bodies of the stand-ins. Unknown fields are rejected. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(JsonInclude.Include.ALWAYS, JsonInclude.Include.ALWAYS))
          .build();

  private Json() {}

  /**
   * Parses a JSON text.
   *
   * @throws StandInException if the text is not valid JSON for the type
   */
  public static <T> T read(String text, Class<T> type) throws StandInException {
    try {
      T value = MAPPER.readValue(text, type);
      if (value == null) {
        throw new StandInException("body is null; expected an object");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new StandInException(e.getOriginalMessage(), e);
    }
  }

  /**
   * Reads a JSON file.
   *
   * @throws StandInException if the file cannot be read or is not valid JSON for the type
   */
  public static <T> T read(Path file, Class<T> type) throws StandInException {
    try {
      return read(Files.readString(file), type);
    } catch (IOException e) {
      throw new StandInException("cannot read " + file, e);
    }
  }

  /**
   * Serializes a value as JSON.
   *
   * @throws IllegalArgumentException if Jackson cannot serialize the value
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot serialize as JSON: " + value, e);
    }
  }
}
