package io.cactusspring.standins.log;

/** A record with its assigned offset. */
record StoredRecord(long offset, String data) {}
