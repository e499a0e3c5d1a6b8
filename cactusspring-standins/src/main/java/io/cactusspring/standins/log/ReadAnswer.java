package io.cactusspring.standins.log;

import java.util.List;

/** Records read, with the ends of the log. */
record ReadAnswer(List<StoredRecord> records, long earliest, long next) {
  ReadAnswer {
    records = List.copyOf(records);
  }
}
