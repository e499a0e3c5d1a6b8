package io.cactusspring.standins.log;

import java.util.List;

/** Request body of an append; the records are appended as one batch. */
record AppendBody(List<String> records) {
  AppendBody {
    if (records == null || records.isEmpty()) {
      throw new IllegalArgumentException("records is empty; expected at least one");
    }
    records = List.copyOf(records);
  }
}
