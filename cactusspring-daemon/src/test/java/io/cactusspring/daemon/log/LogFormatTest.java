package io.cactusspring.daemon.log;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;

class LogFormatTest {
  private final JsonTemplateLayout layout =
      JsonTemplateLayout.newBuilder()
          .setConfiguration(new DefaultConfiguration())
          .setEventTemplateUri("classpath:cactusspring-log-template.json")
          .build();

  @Test
  void eventIsOneLineOfJsonWithItsCode() throws Exception {
    String line = line(Event.NOT_READY.format(List.of("two\nlines \"quoted\"")));
    assertThat(line).endsWith("}" + System.lineSeparator());
    assertThat(line.strip().lines().count()).isEqualTo(1);
    JsonNode json = new ObjectMapper().readTree(line);
    assertThat(json.get("event").textValue()).isEqualTo("CS1003");
    assertThat(json.get("level").textValue()).isEqualTo("WARN");
    assertThat(json.get("message").textValue())
        .isEqualTo("CS1003 not ready: two\nlines \"quoted\"");
  }

  @Test
  void libraryMessageHasNoCode() throws Exception {
    JsonNode json = new ObjectMapper().readTree(line("library message"));
    assertThat(json.get("event").textValue()).isEmpty();
  }

  @Test
  void stackTraceIsInItsOwnField() throws Exception {
    String text = Event.INTERNAL_ERROR.format(List.of("a part", "a problem"));
    JsonNode json = new ObjectMapper().readTree(line(text, new IllegalStateException("why")));
    assertThat(json.get("event").textValue()).isEqualTo("CS1010");
    assertThat(json.get("exception").textValue()).contains("IllegalStateException: why");
  }

  private String line(String message) {
    return line(message, null);
  }

  private String line(String message, Throwable cause) {
    return layout.toSerializable(
        Log4jLogEvent.newBuilder()
            .setThrown(cause)
            .setLoggerName("io.cactusspring.daemon")
            .setLevel(Level.WARN)
            .setMessage(new SimpleMessage(message))
            .build());
  }
}
