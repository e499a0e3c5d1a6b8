package io.cactusspring.standins.log;

import java.util.List;

/** The body of an append: records that are appended whole. */
record AppendRequest(List<String> records) {
  AppendRequest {
    if (records == null || records.isEmpty()) {
      throw new IllegalArgumentException("records is empty; expected at least one");
    }
    records = List.copyOf(records);
  }
}
