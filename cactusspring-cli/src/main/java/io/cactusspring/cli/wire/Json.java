package io.cactusspring.cli.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** JSON of the API, of files and of the output. */
public final class Json {
  /** For the API; unknown fields are ignored, since a newer version may add fields to responses. */
  private static final JsonMapper WIRE =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /** For files of operators; comments are allowed, unknown fields are rejected. */
  private static final JsonMapper FILE =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private static final JsonMapper PRETTY =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  private Json() {}

  /** Returns the mapper for files of operators. */
  public static JsonMapper file() {
    return FILE;
  }

  /** Parses a response body, or returns empty if it has another form. */
  public static <T> Optional<T> tryRead(byte[] body, Class<T> type) {
    try {
      return Optional.ofNullable(WIRE.readValue(body, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Serialises a request body. */
  public static byte[] write(Object value) {
    try {
      return WIRE.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Serialises to one line, for programs. */
  public static String line(Object value) {
    return new String(write(value), StandardCharsets.UTF_8);
  }

  /** Serialises with indentation, for people. */
  public static String pretty(Object value) {
    try {
      return PRETTY.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
