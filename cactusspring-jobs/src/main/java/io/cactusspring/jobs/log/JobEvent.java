package io.cactusspring.jobs.log;

/**
 * The events that the job runtime logs. The number of an event is never reused for another one. The
 * catalogue is docs/EVENTS.md.
 *
 * @since 0.2
 */
public enum JobEvent {
  STARTED(2001, "the process listens"),
  READY(2002, "the balancer may send callers here"),
  NOT_READY(2003, "the balancer should send callers elsewhere"),
  DRAINING(2004, "a stop was asked for; open requests are finished"),
  STOPPED(2005, "the process ends"),
  SETTINGS_RELOADED(2006, "the settings file was read again"),
  INTERNAL_ERROR(2007, "an unexpected error; the owner gives up its term"),
  EVENT_LOOP_LAGS(2008, "the event loop lags; new submissions are refused"),
  EVENT_LOOP_RECOVERED(2009, "the event loop lags no longer; new submissions are taken"),
  STORE_LOST(2101, "a topic of the store cannot be read"),
  STORE_REGAINED(2102, "a topic of the store can be read again"),
  RECORD_UNREADABLE(2103, "a record of the store is skipped"),
  CONFIGURATION(2104, "a configuration is in force"),
  ZONE_EVACUATED(2105, "an availability zone is evacuated; nothing is started there"),
  ZONE_IN_USE(2106, "an availability zone is returned to use"),
  READ_OVERDUE(2107, "a read of the configuration has got no answer in time"),
  GRANTED_UNCONFIRMED(
      2108, "a request is granted by an old configuration because the store cannot be reached"),
  READ_REPEATED(2109, "an overdue read of the configuration was repeated on a new connection"),
  CLAIMED(2201, "this host owns the executors"),
  OWNER_CHANGED(2202, "another owner was read in the ledger"),
  STEPPED_DOWN(2203, "this host no longer owns the executors"),
  APPEND_FAILED(2204, "the owner's records were not stored; they are sent again"),
  TAKING_OVER(2205, "this host has claimed ownership and reads the ledger"),
  EARLIER_LEASES_SHORTENED(2206, "the owner before has ended; its leases lapse sooner"),
  RECORDS_DELETED(2207, "the owner deletes records of ended jobs from a lane of the ledger"),
  LINK_OPENED(2211, "the link to the owner is open"),
  LINK_CLOSED(2212, "the link to the owner has closed or is silent"),
  LINK_REFUSED(2213, "a link of another host was closed because of an invalid message"),
  PEER_LINKED(2214, "another host has opened a link to this one"),
  PEER_UNLINKED(2215, "a link that another host had opened has closed"),
  SUBMISSION(2301, "a submission was answered"),
  CANCELLATION(2302, "a cancellation was answered"),
  REQUEST_REFUSED(2303, "a request was refused"),
  DECISION(2401, "the owner decided or observed something"),
  JOB_ENDED(2402, "a job has ended; how long it spent in each stage"),
  LINES_DROPPED(2501, "log lines were dropped because the output was too slow");

  private final int number;
  private final String meaning;

  JobEvent(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  /** Returns the code that identifies the event in the log, such as {@code CS2001}. */
  public String code() {
    return "CS" + number;
  }

  public String meaning() {
    return meaning;
  }
}
