package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks what was answered against what the executors saw. */
final class RequestChecks {
  private RequestChecks() {}

  /** Asserts that each good answer belongs to its request, ran, and each "not run" did not run. */
  static void assertConsistent(
      Collection<RequestLoad.SentRequest> sent, List<Execution> executions) {
    Set<String> executed = executions.stream().map(Execution::request).collect(Collectors.toSet());
    List<RequestLoad.SentRequest> successful =
        sent.stream().filter(RequestLoad.SentRequest::isSuccessful).toList();
    assertWithMessage("answers of another request")
        .that(successful.stream().filter(s -> !s.echoesRequest()).toList())
        .isEmpty();
    assertThat(executed)
        .containsAtLeastElementsIn(successful.stream().map(RequestLoad.SentRequest::id).toList());
    assertWithMessage("refused as not run, and yet they ran")
        .that(
            sent.stream().filter(s -> s.isRefusedAsNotRun() && executed.contains(s.id())).toList())
        .isEmpty();
  }

  /** Asserts that no request was executed twice. */
  static void assertAtMostOnce(List<Execution> executions) {
    Map<String, Long> counts =
        executions.stream()
            .collect(Collectors.groupingBy(Execution::request, Collectors.counting()));
    assertWithMessage("executed more than once")
        .that(counts.entrySet().stream().filter(e -> e.getValue() > 1).toList())
        .isEmpty();
  }
}
