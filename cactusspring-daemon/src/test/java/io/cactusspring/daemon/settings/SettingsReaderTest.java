package io.cactusspring.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsReaderTest {
  private static final String KEY_HASH = "ab".repeat(32);
  private static final String SALT = "0123456789abcdef";
  private static final String VALID =
      """
      {
        // an entry host
        "name": "riga-a-1", "zone": "riga-a", "region": "riga",
        "callerAddress": "127.0.0.1:9001",
        "peerAddress": "127.0.0.1:9101",
        "platformLog": "127.0.0.1:7001",
        "hostList": "127.0.0.1:7002",
        "peers": [
          {"name": "riga-b-1", "zone": "riga-b", "region": "riga", "address": "127.0.0.1:9102"},
        ],
        "bootstrapKey": {"name": "ops", "salt": "%s", "hash": "%s"},
        "heartbeatMillis": 100, /* faster */
      }
      """
          .formatted(SALT, KEY_HASH);

  @TempDir Path directory;

  @Test
  void fileWithCommentsIsRead() throws Exception {
    DaemonSettings s = read(VALID);
    assertThat(s.name()).isEqualTo("riga-a-1");
    assertThat(s.platformLog()).isEqualTo(new Address("127.0.0.1", 7001));
    assertThat(s.peers()).hasSize(1);
    assertThat(s.heartbeatMillis()).isEqualTo(100);
    assertThat(s.leaseMillis()).isEqualTo(15_000);
  }

  @Test
  void unknownFieldIsRejectedWithTheClosestKnownName() {
    assertThat(errorAfterReplacing("\"heartbeatMillis\"", "\"heartbeatMilis\""))
        .endsWith(
            ":12: the file: unknown field \"heartbeatMilis\"; did you mean \"heartbeatMillis\"?");
  }

  @Test
  void unknownFieldOfAPeerIsRejected() {
    assertThat(errorAfterReplacing("\"address\":", "\"adress\":"))
        .contains("did you mean \"address\"?");
  }

  @Test
  void wrongTypeErrorNamesFoundAndExpectedValue() {
    assertThat(errorAfterReplacing("100,", "\"fast\","))
        .endsWith(":12: heartbeatMillis: found \"fast\"; expected a whole number");
  }

  @Test
  void fractionalNumberIsRejected() {
    assertThat(errorAfterReplacing("100,", "100.5,"))
        .endsWith("found 100.5; expected a whole number");
  }

  @Test
  void numberOutOfRangeErrorNamesTheRange() {
    assertThat(errorAfterReplacing("100,", "49,"))
        .endsWith(":12: heartbeatMillis: heartbeatMillis is 49; expected 50 to 5000");
  }

  @Test
  void malformedAddressErrorNamesTheExpectedForm() {
    assertThat(errorAfterReplacing("127.0.0.1:7001", "log.example:7001"))
        .endsWith(":6: platformLog: host is \"log.example\"; expected an IP address");
    assertThat(errorAfterReplacing("127.0.0.1:7001", "127.0.0.1"))
        .contains("expected an IP address and a port");
  }

  @Test
  void missingRequiredFieldIsNamed() {
    assertThat(errorAfterReplacing("\"region\": \"riga\",\n", "\n"))
        .endsWith(":1: missing required fields: region");
  }

  @Test
  void duplicateFieldIsRejected() {
    assertThat(
            errorAfterReplacing("\"zone\": \"riga-a\", \"region\"", "\"name\": \"x\", \"region\""))
        .contains(":3: invalid JSON: Duplicate field 'name'");
  }

  @Test
  void takeoverNotAboveAuthorityIsRejectedAtItsLine() {
    assertThat(errorAfterReplacing("100,", "100,\n \"takeoverMillis\": 3000,"))
        .endsWith(":13: takeoverMillis is 3000; expected more than authorityMillis, which is 3000");
  }

  @Test
  void peerWithTheNameOfThisHostIsRejected() {
    assertThat(errorAfterReplacing("riga-b-1", "riga-a-1")).contains("names this host");
  }

  @Test
  void peerTlsWithoutAuthoritiesIsRejected() {
    String tls = "100,\n\"peerTls\": {\"certificate\": \"c.pem\", \"key\": \"k.pem\"},";
    assertThat(errorAfterReplacing("100,", tls)).contains("peerTls has no authorities");
  }

  @Test
  void missingFileErrorNamesTheFile() {
    Path missing = directory.resolve("absent.json");
    SettingsException e = assertThrows(SettingsException.class, () -> SettingsReader.read(missing));
    assertThat(e).hasMessageThat().startsWith(missing + ": cannot be read");
  }

  @Test
  void printedSettingsHideSecretsAndShowEveryField() throws Exception {
    String printed = SettingsPrinter.print(read(VALID));
    assertThat(printed).doesNotContain(KEY_HASH);
    assertThat(printed).doesNotContain(SALT);
    for (SettingsField f : SettingsField.values()) {
      assertThat(printed).contains(f.key() + " ");
    }
  }

  private String errorAfterReplacing(String original, String replacement) {
    assertThat(VALID).contains(original);
    String text = VALID.replace(original, replacement);
    return assertThrows(SettingsException.class, () -> read(text)).getMessage();
  }

  private DaemonSettings read(String text) throws SettingsException, IOException {
    Path file = directory.resolve("settings.json");
    Files.writeString(file, text);
    return SettingsReader.read(file);
  }
}
