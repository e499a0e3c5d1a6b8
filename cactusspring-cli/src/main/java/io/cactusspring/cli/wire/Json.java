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

/** JSON on the wire, in files and on the screen. */
public final class Json {
  /** Answers may carry fields of a newer version. */
  private static final JsonMapper WIRE =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /** Files of operators: comments allowed, unknown fields refused. */
  private static final JsonMapper FILE =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private static final JsonMapper PRETTY =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  private Json() {}

  /** Mapper for files of operators. */
  public static JsonMapper file() {
    return FILE;
  }

  /** Reads an answer, or empty when it has another form. */
  public static <T> Optional<T> tryRead(byte[] body, Class<T> type) {
    try {
      return Optional.ofNullable(WIRE.readValue(body, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Writes a body. */
  public static byte[] write(Object value) {
    try {
      return WIRE.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes on one line, for programs. */
  public static String line(Object value) {
    return new String(write(value), StandardCharsets.UTF_8);
  }

  /** Writes for a reader. */
  public static String pretty(Object value) {
    try {
      return PRETTY.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
