package io.cactusspring.standins.log;

import java.util.List;

/** Records read, with the ends of the log. */
record ReadResponse(List<StoredRecord> records, long earliest, long next) {
  ReadResponse {
    records = List.copyOf(records);
  }
}
