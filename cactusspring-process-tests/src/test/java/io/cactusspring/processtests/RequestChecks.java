package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks the responses to requests against the executions that the executors recorded. */
final class RequestChecks {
  private RequestChecks() {}

  /**
   * Asserts that each successful response belongs to its own request and that the request ran, and
   * that no request refused as not run was executed.
   */
  static void assertConsistent(
      Collection<RequestLoad.SentRequest> sent, List<Execution> executions) {
    Set<String> executed = executions.stream().map(Execution::request).collect(Collectors.toSet());
    List<RequestLoad.SentRequest> successful =
        sent.stream().filter(RequestLoad.SentRequest::isSuccessful).toList();
    assertWithMessage("requests that received the response to another request")
        .that(successful.stream().filter(s -> !s.echoesRequest()).toList())
        .isEmpty();
    assertThat(executed)
        .containsAtLeastElementsIn(successful.stream().map(RequestLoad.SentRequest::id).toList());
    assertWithMessage("requests refused as not run that were executed")
        .that(
            sent.stream().filter(s -> s.isRefusedAsNotRun() && executed.contains(s.id())).toList())
        .isEmpty();
  }

  /** Asserts that no request was executed twice. */
  static void assertAtMostOnce(List<Execution> executions) {
    Map<String, Long> counts =
        executions.stream()
            .collect(Collectors.groupingBy(Execution::request, Collectors.counting()));
    assertWithMessage("requests executed more than once")
        .that(counts.entrySet().stream().filter(e -> e.getValue() > 1).toList())
        .isEmpty();
  }
}
