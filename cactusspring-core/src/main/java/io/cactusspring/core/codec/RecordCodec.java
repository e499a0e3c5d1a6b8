package io.cactusspring.core.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.cactusspring.core.model.LogRecord;

/**
 * Writes log records as JSON and reads them back. Unknown fields are ignored; an unknown record
 * type is an error, and replay skips and counts such records.
 *
 * <pre>{@code
 * String text = codec.encode(new LogRecord.WorkCancelled("b1"));
 * LogRecord record = codec.decode(text);
 * }</pre>
 *
 * @since 0.1
 */
public final class RecordCodec {
  private static final int MAX_QUOTED_CHARS = 80;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.ALWAYS))
          .build();

  /** Writes a record; equal records give equal text. */
  public String encode(LogRecord record) {
    return encodeValue(record);
  }

  /**
   * Reads a record.
   *
   * @throws CodecException if the text is not JSON, its type is unknown or a field is malformed
   */
  public LogRecord decode(String text) throws CodecException {
    return decodeValue(text, LogRecord.class);
  }

  /**
   * Writes any value of the model in the same form as records.
   *
   * @throws IllegalArgumentException if the value cannot be written as JSON
   */
  public String encodeValue(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), e);
    }
  }

  /**
   * Reads a value of the given type.
   *
   * @throws CodecException if the text does not have the type's form
   */
  public <T> T decodeValue(String text, Class<T> type) throws CodecException {
    try {
      T value = MAPPER.readValue(text, type);
      if (value == null) {
        throw new CodecException("JSON value is null; expected " + type.getSimpleName(), null);
      }
      return value;
    } catch (JsonProcessingException e) {
      String message = "expected " + type.getSimpleName() + ", found " + shorten(text) + ": ";
      throw new CodecException(message + e.getOriginalMessage(), e);
    }
  }

  private static String shorten(String text) {
    return text.length() <= MAX_QUOTED_CHARS ? text : text.substring(0, MAX_QUOTED_CHARS) + "...";
  }
}
