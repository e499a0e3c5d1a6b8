package io.cactusspring.processtests;

import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.Submission;
import java.io.IOException;
import java.util.List;

/** HTTP client and process handle of an entry host under test. */
final class EntryHost {
  private static final int OK = 200;

  private final String name;
  private final String address;
  private final ManagedProcess process;

  EntryHost(String name, String address, ManagedProcess process) {
    this.name = name;
    this.address = address;
    this.process = process;
  }

  /** The fields of the status response that the tests use. */
  record Status(long revision, List<String> ownedShards) {}

  /** A configuration item and its revision. */
  record ItemView(String path, long revision) {}

  /** The configuration in force and its revision. */
  record ConfigurationView(long revision, List<ItemView> items) {}

  String name() {
    return name;
  }

  ManagedProcess process() {
    return process;
  }

  boolean isReady() throws InterruptedException {
    try {
      return Http.get(address, "/health/ready").status() == OK;
    } catch (IOException e) {
      return false;
    }
  }

  Http.Response request(String id, boolean idempotent, String key)
      throws IOException, InterruptedException {
    return Http.post(
        address,
        "/v1/services/ordering/requests",
        "body of " + id,
        "authorization",
        TestKeys.bearer(key),
        "x-request-id",
        id,
        "x-idempotent",
        Boolean.toString(idempotent));
  }

  Http.Response submit(Submission submission, String key) throws IOException, InterruptedException {
    return Http.postJson(
        address, "/v1/submissions", submission, "authorization", TestKeys.bearer(key));
  }

  Http.Response submission(String id, String key) throws IOException, InterruptedException {
    return Http.get(address, "/v1/submissions/" + id, "authorization", TestKeys.bearer(key));
  }

  boolean hasEnded(String id, String key) throws IOException, InterruptedException {
    Http.Response response = submission(id, key);
    return response.status() == OK && response.as(SubmissionView.class).hasEnded();
  }

  Http.Response apply(ReleaseNote note, String key) throws IOException, InterruptedException {
    return Http.postJson(address, "/v1/notes", note, "authorization", TestKeys.bearer(key));
  }

  ConfigurationView configuration(String key) throws IOException, InterruptedException {
    return Http.get(address, "/v1/configuration", "authorization", TestKeys.bearer(key))
        .as(ConfigurationView.class);
  }

  Status status(String key) throws IOException, InterruptedException {
    return Http.get(address, "/v1/status", "authorization", TestKeys.bearer(key)).as(Status.class);
  }
}
