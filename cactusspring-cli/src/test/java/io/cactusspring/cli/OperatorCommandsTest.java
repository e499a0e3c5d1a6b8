package io.cactusspring.cli;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cactusspring.cli.FakeEntryHost.Received;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OperatorCommandsTest {
  private static final String NOTES = "POST /v1/notes";
  private static final String CHECK = "POST /v1/notes/check";
  private static final String STATUS = "GET /v1/status";
  private static final String CONFIGURATION =
      """
      {"revision":12,"items":[
        {"path":"team/counter","revision":12,"note":"n0","operator":"ops2",
         "item":{"kind":"team","name":"counter","share":4,"maxRunning":200,"open":false}},
        {"path":"key/k1","revision":3,"note":"n0","operator":"ops",
         "item":{"kind":"key","name":"k1","team":"counter","operator":false,"salt":"","hash":""}}]}
      """;
  private static final String NOTE =
      """
      {
        // a higher limit, one key less
        "changes": [
          {"change": "change", "basedOn": 12,
           "item": {"kind": "team", "name": "counter", "share": 4, "maxRunning": 300, "open": false}},
          {"change": "withdraw", "item": "key/k1", "basedOn": 2},
          {"change": "add", "item": {"kind": "key", "name": "shop", "team": "counter",
                                     "operator": false, "secretFile": "shop.key"}},
        ],
      }
      """;

  @TempDir Path directory;
  private final FakeEntryHost host = new FakeEntryHost();
  private final CliRunner tool = new CliRunner().with("CACTUSSPRING_KEY", "ops.secret");
  private Path note;

  @BeforeEach
  void writeNote() throws IOException {
    note = directory.resolve("note.json");
    Files.writeString(note, NOTE);
    Files.writeString(directory.resolve("shop.key"), "shop.the-secret\n");
  }

  @AfterEach
  void closeHost() {
    host.close();
  }

  @Test
  void checkShowsTheDifferencesAndDoesNotApplyTheNote() {
    host.on("GET /v1/configuration", 200, CONFIGURATION).on(CHECK, 200, "{\"accepted\":true}");
    assertThat(run("note", "check", note.toString())).isEqualTo(ExitCode.OK);
    assertThat(tool.out()).contains("~ team/counter  maxRunning: 200 -> 300\n");
    assertThat(tool.out()).contains("- key/k1  (based on 2, in force 3)");
    assertThat(tool.out()).contains("+ key/shop");
    assertThat(tool.out()).doesNotContain("the-secret");
    assertThat(host.received().stream().map(Received::line)).doesNotContain(NOTES);
  }

  @Test
  void checkOfAStaleNoteShowsTheDifferenceAndTheConflict() {
    host.on("GET /v1/configuration", 200, CONFIGURATION);
    host.on(CHECK, 409, "{\"reason\":\"note-conflict\",\"message\":\"changed since\"}");
    assertThat(run("note", "check", note.toString())).isEqualTo(ExitCode.CONFLICT);
    assertThat(tool.out()).contains("~ team/counter  maxRunning: 200 -> 300\n");
    assertThat(tool.out()).contains("would not be accepted: note-conflict: changed since");
    assertThat(tool.err()).isEmpty();
  }

  @Test
  void secretIsSentOnlyAsASaltedHash() throws Exception {
    host.on(NOTES, 200, "{\"id\":\"n1\",\"accepted\":true,\"revision\":17}");
    assertThat(run("note", "apply", note.toString())).isEqualTo(ExitCode.OK);
    String body = host.received().getFirst().body();
    assertThat(body).doesNotContain("the-secret");
    JsonNode sent = new ObjectMapper().readTree(body);
    JsonNode key = sent.at("/changes/2/item");
    MessageDigest digest = MessageDigest.getInstance("SHA-256");
    digest.update(HexFormat.of().parseHex(key.get("salt").textValue()));
    byte[] expected = digest.digest("the-secret".getBytes("UTF-8"));
    assertThat(key.get("hash").textValue()).isEqualTo(HexFormat.of().formatHex(expected));
    assertThat(sent.get("operator").textValue()).isEqualTo("ops");
    assertThat(tool.out()).contains("accepted with revision 17");
  }

  @Test
  void conflictNamesTheItemTheRevisionAndTheOperator() {
    host.on(
        NOTES,
        409,
        "{\"reason\":\"note-conflict\",\"ran\":\"NO\",\"conflicts\":[{\"item\":\"team/counter\","
            + "\"basedOn\":12,\"revision\":15,\"operator\":\"ops2\",\"note\":\"n9\"}]}");
    assertThat(run("note", "apply", note.toString())).isEqualTo(ExitCode.CONFLICT);
    assertThat(tool.err())
        .contains(
            "team/counter: based on revision 12, but ops2 changed it at revision 15 with note n9");
  }

  @Test
  void problemsOfANoteAreListedOnce() {
    host.on(
        NOTES,
        422,
        "{\"reason\":\"note-invalid\",\"message\":\"no team x\",\"problems\":[\"no team x\"]}");
    assertThat(run("note", "apply", note.toString())).isEqualTo(ExitCode.REFUSED);
    assertThat(tool.err().strip()).isEqualTo("cactusspring: note-invalid\n  no team x");
  }

  @Test
  void conflictReportsThatTheItemDoesNotExist() {
    host.on(
        NOTES,
        409,
        "{\"reason\":\"note-conflict\",\"conflicts\":"
            + "[{\"item\":\"key/k1\",\"basedOn\":3,\"revision\":0}]}");
    assertThat(run("note", "apply", note.toString())).isEqualTo(ExitCode.CONFLICT);
    assertThat(tool.err()).contains("key/k1: based on revision 3, but it does not exist");
  }

  @Test
  void noteWithoutAResponsePrintsTheIdForResending() {
    host.closeConnectionOn(NOTES);
    assertThat(run("note", "apply", note.toString(), "--id", "n1"))
        .isEqualTo(ExitCode.OUTCOME_UNKNOWN);
    assertThat(tool.err()).contains("send the note again with --id n1");
  }

  @Test
  void unknownFieldOfANoteIsBadInputAndSendsNothing() throws IOException {
    Files.writeString(note, NOTE.replace("maxRunning", "maxRuning"));
    assertThat(run("note", "apply", note.toString())).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(tool.err()).contains("maxRuning");
    assertThat(host.received()).isEmpty();
  }

  @Test
  void changeWithoutBasedOnIsBadInput() throws IOException {
    Files.writeString(note, NOTE.replace("\"basedOn\": 12,", ""));
    assertThat(run("note", "apply", note.toString())).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(tool.err()).contains("change of team/counter has no \"basedOn\"");
  }

  @Test
  void noteApplyRequiresAKey() {
    CliRunner keyless = new CliRunner();
    assertThat(keyless.run("note", "apply", note.toString(), "--host", host.url()))
        .isEqualTo(ExitCode.BAD_INPUT);
    assertThat(keyless.err()).contains("give --key-file or set CACTUSSPRING_KEY");
  }

  @Test
  void noteStatusWaitsUntilTheRevisionIsInForceEverywhere() {
    host.on(STATUS, 200, status(17, 12)).on(STATUS, 200, status(17, 17));
    assertThat(run("note", "status", "--revision", "17", "--wait", "5000")).isEqualTo(ExitCode.OK);
    assertThat(tool.out()).contains("revision 17 is in force everywhere");
  }

  @Test
  void noteStatusShowsAHostWithAnOlderRevision() {
    host.on(STATUS, 200, status(17, 12));
    assertThat(run("note", "status")).isEqualTo(ExitCode.NOT_FINISHED);
    assertThat(tool.out()).containsMatch("riga-b-1 +12 +not yet");
  }

  @Test
  void listsArePrintedAsTablesOrJson() throws Exception {
    host.on(STATUS, 200, status(17, 17));
    assertThat(run("workers")).isEqualTo(ExitCode.OK);
    assertThat(tool.out()).containsMatch("w1 +riga-a/0 +READY +3 +2.0/64.0 +512/1024 +0/0");
    CliRunner json = new CliRunner().with("CACTUSSPRING_KEY", "ops.secret");
    json.run("teams", "--output", "json", "--host", host.url());
    assertThat(new ObjectMapper().readTree(json.out()).at("/0/budget").intValue()).isEqualTo(22);
  }

  @Test
  void workersOfAllHostsGivenAreListed() {
    host.on(STATUS, 200, status(17, 17));
    String other = status(17, 17).replace("w1", "w2").replace("riga-a/0", "riga-b/0");
    try (FakeEntryHost second = new FakeEntryHost().on(STATUS, 200, other)) {
      run("workers", "--host", second.url(), "--host", "http://127.0.0.1:1");
    }
    assertThat(tool.out()).containsMatch("(?s)w1 +riga-a/0.*w2 +riga-b/0");
    assertThat(tool.out()).contains("shards of the queried hosts: riga-a/0, riga-b/0");
    assertThat(tool.out()).contains("not included: unreachable: http://127.0.0.1:1");
  }

  @Test
  void keysAreListedWithTheirRevisions() {
    host.on("GET /v1/configuration", 200, CONFIGURATION);
    assertThat(run("keys")).isEqualTo(ExitCode.OK);
    assertThat(tool.out()).containsMatch("key/k1 +3 +ops +n0");
    assertThat(tool.out()).doesNotContain("team/counter");
    assertThat(tool.out()).doesNotContain("salt");
  }

  @Test
  void drainIsRefusedForSeveralHosts() {
    String line = "POST /v1/drain";
    host.on(line, 202, "{}");
    assertThat(run("drain", "--host", host.url())).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(host.received()).isEmpty();
    assertThat(run("drain")).isEqualTo(ExitCode.OK);
    assertThat(host.received()).hasSize(1);
  }

  @Test
  void failureIsPrintedAsJsonWhenRequested() throws Exception {
    host.on(
        STATUS, 403, "{\"reason\":\"not-an-operator\",\"message\":\"key shop\",\"ran\":\"NO\"}");
    assertThat(run("status", "--output", "json")).isEqualTo(ExitCode.REFUSED);
    assertThat(new ObjectMapper().readTree(tool.err()).get("error").textValue())
        .isEqualTo("REFUSED");
  }

  @Test
  void newKeyIsReadableByItsOwnerOnlyAndItsSecretIsNotPrinted() throws IOException {
    Path file = directory.resolve("new.key");
    assertThat(run("key", "new", "shop", "--team", "counter", "--out", file.toString()))
        .isEqualTo(ExitCode.OK);
    String text = Files.readString(file).strip();
    assertThat(text).startsWith("shop.");
    assertThat(tool.out()).doesNotContain(text.substring("shop.".length()));
    assertThat(Files.getPosixFilePermissions(file)).hasSize(2);
    assertThat(run("key", "new", "shop", "--team", "counter", "--out", file.toString()))
        .isEqualTo(ExitCode.BAD_INPUT);
    assertThat(Files.readString(file).strip()).isEqualTo(text);
  }

  private ExitCode run(String... arguments) {
    if (arguments[0].equals("key")) {
      return tool.run(arguments);
    }
    String[] all = Arrays.copyOf(arguments, arguments.length + 2);
    all[arguments.length] = "--host";
    all[arguments.length + 1] = host.url();
    return tool.run(all);
  }

  private static String status(long revision, long peerRevision) {
    return """
    {"host":"riga-a-1","zone":"riga-a","incarnation":"i1","ready":true,"revision":%d,
     "nextOffset":40,"logAgeMillis":12,"ownedShards":["riga-a/0"],
     "peers":[{"name":"riga-b-1","revision":%d,"heardMillisAgo":200}],
     "workers":[{"name":"w1","shard":"riga-a/0","state":"READY",
       "total":{"milliProcessors":64000,"memoryMib":1024,"accelerators":0},
       "committed":{"milliProcessors":2000,"memoryMib":512,"accelerators":0},"tasks":3}],
     "teams":[{"name":"counter","share":4,"maxRunning":200,"running":3,"budget":22,"waiting":0}],
     "queue":[]}
    """
        .formatted(revision, peerRevision);
  }
}
