package io.cactusspring.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads a settings file: JSON in which comments and trailing commas are allowed and duplicate
 * fields are not.
 *
 * <pre>{@code
 * DaemonSettings settings = SettingsReader.read(Path.of("riga-a-1.json"));
 * }</pre>
 *
 * @since 0.1
 */
public final class SettingsReader {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();

  private SettingsReader() {}

  /**
   * Reads and checks a settings file.
   *
   * @throws SettingsException if the file cannot be read or one of its fields cannot be used
   */
  public static DaemonSettings read(Path file) throws SettingsException {
    return new SettingsBinder(file).bind(parse(file));
  }

  private static LocatedValue parse(Path file) throws SettingsException {
    try (JsonParser parser = MAPPER.createParser(Files.readString(file))) {
      if (parser.nextToken() == null) {
        throw new SettingsException(file, 1, "the file is empty; expected one JSON object");
      }
      LocatedValue root = LocatedValue.read(parser);
      JsonToken next = parser.nextToken();
      if (next != null) {
        int line = parser.currentTokenLocation().getLineNr();
        throw new SettingsException(
            file, line, "found content after the end of the JSON value; expected one JSON object");
      }
      return root;
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      throw new SettingsException(file, line, "invalid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new SettingsException(file, "cannot be read: " + e, e);
    }
  }
}
