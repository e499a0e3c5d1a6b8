package io.cactusspring.standins.log;

import java.util.List;

/** The records read, the earliest retained offset and the offset of the next append. */
record ReadAnswer(List<StoredRecord> records, long earliest, long next) {
  ReadAnswer {
    records = List.copyOf(records);
  }
}
