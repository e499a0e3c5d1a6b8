package io.cactusspring.standins.log;

/** A record with the offset that it was given. */
record StoredRecord(long offset, String data) {}
