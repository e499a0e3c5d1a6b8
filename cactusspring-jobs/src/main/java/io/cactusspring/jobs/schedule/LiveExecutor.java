package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.port.ExecutorClient;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The owner's state of an executor: its runs, its clock, its lease and whether it answers. */
final class LiveExecutor {
  private static final long NEVER = Long.MIN_VALUE / 2;
  // Bounds the lines that one silence writes to the log.
  private static final int MAX_SILENCE_REASONS = 8;
  // Far below the time that an executor needs to start again and to end a task.
  private static final long CONFIRMED_BOOT_MILLIS = 200;
  // Starts that follow one another without a pause must not delay acknowledgements for ever.
  private static final long OVERDUE_ACKNOWLEDGEMENT_MILLIS = 100;
  private static final long MAX_WAIT_FOR_ACKNOWLEDGEMENT_MILLIS = 1_000;
  // An answer of an earlier boot is late by seconds at most.
  private static final int MAX_PAST_BOOTS = 32;

  /**
   * The last report of the present boot.
   *
   * @param clock the executor's clock when it reported, which is not faster than that of this host
   * @param earliestReportAt the earliest time at which it can have reported, on the clock of this
   *     host
   */
  private record ConfirmedBoot(long clock, long earliestReportAt) {
    /** The answer may have waited to be processed: what its clock tells limits its age. */
    private static ConfirmedBoot after(Optional<ConfirmedBoot> previous, long clock, long askedAt) {
      long earliestReportAt =
          previous.map(p -> p.earliestReportAt + clock - p.clock).orElse(askedAt);
      return new ConfirmedBoot(clock, Math.max(askedAt, earliestReportAt));
    }
  }

  /** Which new tasks the executor takes. */
  private enum Openness {
    CLOSED,
    FOR_ONE_TASK,
    OPEN
  }

  private final String id;
  private final ZoneEvacuation zones;
  private final ExecutorLease lease;
  private final Map<RunKey, Run> runs = new LinkedHashMap<>();
  private ExecutorInfo info;
  private boolean listed;
  private long listedAt;
  private long leavesAt;
  private long bootMillis;
  private final Set<Long> recordedBoots = new HashSet<>();
  private final Deque<Long> pastBoots = new ArrayDeque<>();
  private String renewalAddress = "";
  private Resources used = Resources.NONE;
  private long silentSince = NEVER;
  private final Set<String> silenceReasons = new HashSet<>();
  private boolean hasReported;
  private boolean reportTruncated;
  private boolean suspect;
  private boolean setAside;
  private Openness openness = Openness.CLOSED;
  private long gainedAtVersion;
  private Optional<LeaseRenewalRequest> renewalInFlight = Optional.empty();
  private long renewalBootMillis;
  private long renewNotBefore = NEVER;
  private long lastReceivedEnd;
  private long lastStoredEnd;
  private long acknowledgedEnd;
  private long acknowledgementDueSince = NEVER;
  private Optional<ConfirmedBoot> confirmed = Optional.empty();
  private long fastestAnswerMillis = CONFIRMED_BOOT_MILLIS;
  private String acknowledgement = "no ends acknowledged";
  private long acknowledgementSentAt = NEVER;
  private final CallFence fence;
  private final Quarantine quarantine = new Quarantine();

  LiveExecutor(String id, ZoneEvacuation zones, ExecutorLease lease, CallFence fence) {
    this.id = id;
    this.zones = zones;
    this.lease = lease;
    this.fence = fence;
  }

  String id() {
    return id;
  }

  ExecutorInfo info() {
    return info;
  }

  /** Returns whether the address of the executor is known. */
  boolean isCallable() {
    return info != null;
  }

  ExecutorClient.Target target() {
    return new ExecutorClient.Target(id, info.address());
  }

  long bootMillis() {
    return bootMillis;
  }

  boolean listed() {
    return listed;
  }

  /** Returns since when the executor has been listed. */
  long listedAt() {
    return listedAt;
  }

  /**
   * Records an announcement of the executor.
   *
   * @param drainMillis how long it keeps running after it announced to drain, if the announcement
   *     does not contain the time
   */
  void announced(ExecutorInfo announced, long drainMillis, long now) {
    boolean wasDraining = isDraining();
    info = announced;
    listedAt = listed ? listedAt : now;
    listed = true;
    if (announced.remainingMillis() >= 0) {
      leavesAt = now + announced.remainingMillis();
    } else if (!wasDraining) {
      leavesAt = now + drainMillis;
    }
  }

  boolean isDraining() {
    return info != null && info.draining();
  }

  /** Returns the time until which a draining executor keeps running at least. */
  long leavesAt() {
    return leavesAt;
  }

  void unlisted() {
    listed = false;
  }

  /** Resets the state for a new boot, which shares no runs, clock or ends with the previous one. */
  void rebooted(long boot, long now) {
    // A boot is known first, or replaces one that this owner or an earlier one has known.
    lease.rebooted(bootMillis == 0 || recordedBoots.contains(boot), now);
    if (bootMillis != 0) {
      // The later boot may still get calls that were meant for the one before.
      fence.raise();
      addPastBoot(bootMillis);
    }
    bootMillis = boot;
    pastBoots.remove(boot);
    lastReceivedEnd = 0;
    lastStoredEnd = 0;
    acknowledgedEnd = 0;
    confirmed = Optional.empty();
    renewalInFlight = Optional.empty();
    hasReported = false;
    reportTruncated = false;
    suspect = false;
    setAside = false;
    silentSince = NEVER;
    quarantine.reset();
  }

  private void addPastBoot(long boot) {
    pastBoots.addLast(boot);
    if (pastBoots.size() > MAX_PAST_BOOTS) {
      pastBoots.removeFirst();
    }
  }

  /** Restores the boot that a previous owner recorded, if none is known yet. */
  void restoreBoot(long boot) {
    recordedBoots.add(boot);
    if (bootMillis == 0) {
      bootMillis = boot;
    }
  }

  /**
   * Returns whether a boot that was announced is later than the present one. The times of boots are
   * read from a clock that may be set back, so that only a report tells for certain.
   */
  boolean isLaterBoot(long announced) {
    return announced > bootMillis && !pastBoots.contains(announced);
  }

  /** Returns whether a boot was announced that is neither known as present nor as past. */
  boolean isAnnouncedBootUnknown() {
    return isCallable() && !isBootAnnounced() && !pastBoots.contains(info.bootMillis());
  }

  /**
   * Returns whether the boot that is known is over if another executor answers the last renewal: it
   * was announced with the address, and no owner has recorded a later one, which may be elsewhere.
   */
  boolean isOverIfReplaced() {
    return isCallable()
        && info.bootMillis() != 0
        && info.bootMillis() == bootMillis
        && recordedBoots.stream().allMatch(b -> b == bootMillis || pastBoots.contains(b))
        && info.address().equals(renewalAddress);
  }

  Collection<Run> runs() {
    return runs.values();
  }

  /** Returns the last answer's age, the lease and each run with its phase and age, for the log. */
  String describeRuns(long now) {
    String answer =
        hasClock() ? "last answer " + (now - answeredAt()) + " ms ago" : "no answer yet";
    String state = String.join("; ", answer, lease.describe(now), describeAcknowledgement(now), "");
    return runs.values().stream()
        .map(r -> r.key() + " " + r.phase() + " for " + (now - r.decidedAt()) + " ms")
        .collect(Collectors.joining(", ", state + runs.size() + " runs: ", ""));
  }

  /** Returns which ends the executor was last told to delete, for the log. */
  String describeAcknowledgement(long now) {
    return acknowledgementSentAt == NEVER
        ? acknowledgement
        : acknowledgement + " " + (now - acknowledgementSentAt) + " ms ago";
  }

  Run run(RunKey key) {
    return runs.get(key);
  }

  void add(Run run) {
    if (runs.put(run.key(), run) == null) {
      used = used.plus(run.committed());
    }
  }

  boolean remove(RunKey key) {
    Run run = runs.remove(key);
    if (run == null) {
      return false;
    }
    used = used.minus(run.committed());
    return true;
  }

  Resources used() {
    return used;
  }

  /** Returns the free capacity; none while more of any resource is used than announced. */
  Resources free() {
    return freeWithout(Resources.NONE);
  }

  /**
   * Returns the free capacity once runs are over; none while the others use more than announced.
   *
   * @param ending what these runs use
   */
  Resources freeWithout(Resources ending) {
    Resources left = used.minus(ending);
    Resources all = info.capacity();
    return left.fitsIn(all) ? all.minus(left) : Resources.NONE;
  }

  /** Returns whether a run of the executor may start: all its runs fit in the capacity. */
  boolean hasRoomToStart(Run run) {
    return run.committed().equals(Resources.NONE) || used.fitsIn(info.capacity());
  }

  /** Returns whether new tasks may be placed on the executor. */
  boolean isUsable(long now) {
    return openness(now) == Openness.OPEN;
  }

  /** Returns whether any task may be placed on the executor if no other has room for it. */
  boolean isUsableAsLastResort(long now) {
    return openness(now) != Openness.CLOSED;
  }

  private Openness openness(long now) {
    if (!takesStarts(now)) {
      return Openness.CLOSED;
    }
    if (!quarantine.isActive(now)) {
      return Openness.OPEN;
    }
    return quarantine.mayProbe(runs.values(), now) ? Openness.FOR_ONE_TASK : Openness.CLOSED;
  }

  private boolean takesStarts(long now) {
    return listed
        && hasReported
        && !info.draining()
        && isBootAnnounced()
        && silentSince == NEVER
        && !suspect
        && !setAside
        && zones.admits(id, info.zone(), now);
  }

  /** Returns whether the announcement is that of the present boot, as are its capacity and zone. */
  boolean isBootAnnounced() {
    return info.bootMillis() == 0 || info.bootMillis() == bootMillis;
  }

  /** Returns whether a run that was decided may be started. */
  boolean maySend(Run run, long now) {
    return takesStarts(now) && (!quarantine.isActive(now) || quarantine.isProbe(run));
  }

  /** Returns whether the executor takes tasks now that it did not take at the last call. */
  boolean takesTasksAgain(long now) {
    Openness before = openness;
    openness = openness(now);
    return openness.compareTo(before) > 0;
  }

  /** Returns whether the executor is excluded from new tasks because of failed runs. */
  boolean isQuarantined(long now) {
    return quarantine.isActive(now);
  }

  boolean isSuspect() {
    return suspect;
  }

  /** Returns the {@link OwnerState#version} of the last gain of capacity. */
  long gainedAtVersion() {
    return gainedAtVersion;
  }

  void gainedAtVersion(long version) {
    gainedAtVersion = version;
  }

  /** Excludes this boot from starts and lease renewals, as if it did not answer any more. */
  void setAside(long now) {
    setAside = true;
    markSilent(now);
  }

  boolean isSetAside() {
    return setAside;
  }

  /** Returns whether no lease renewal is in flight and the pause after a failed one is over. */
  boolean mayRenew(long now) {
    return renewalInFlight.isEmpty() && now >= renewNotBefore;
  }

  boolean renewalInFlight() {
    return renewalInFlight.isPresent();
  }

  /** Returns whether a renewal is waited for; not if it was sent before a reboot was known. */
  boolean isInFlight(LeaseRenewalRequest renewal) {
    return renewalInFlight.filter(r -> r == renewal).isPresent();
  }

  /**
   * Returns whether an acknowledgement of ends is in flight. A later boot that carried out both it
   * and a start would delete the end of that run, so that none is sent beside the other.
   */
  boolean isAcknowledgementInFlight() {
    return renewalInFlight.filter(r -> r.acknowledgedEnd() > 0).isPresent();
  }

  boolean isStartInFlight() {
    return runs.values().stream().anyMatch(Run::isStartInFlight);
  }

  void renewalSent(LeaseRenewalRequest renewal, long now) {
    renewalInFlight = Optional.of(renewal);
    renewalBootMillis = bootMillis;
    renewalAddress = info.address();
    long end = renewal.acknowledgedEnd();
    if (end > 0) {
      acknowledgement = "ends up to " + end + " of boot " + bootMillis + " acknowledged";
      acknowledgementSentAt = now;
    }
  }

  /** Records that a renewal was answered or failed. */
  void renewalAnswered(long notBefore) {
    renewalInFlight = Optional.empty();
    renewNotBefore = notBefore;
  }

  /**
   * Sets whether a start is overdue without any answer since; no new tasks are placed meanwhile.
   */
  void suspect(boolean value) {
    suspect = value;
  }

  boolean hasReported() {
    return hasReported;
  }

  /** Records that the present boot has answered, and its clock. */
  void answered(long clock, long now) {
    lease.clock(clock, now);
    silentSince = setAside ? silentSince : NEVER;
  }

  /**
   * Records a report.
   *
   * @param truncated whether it left out ends
   * @param clock the executor's clock when it reported
   * @param askedAt when the report was requested
   */
  void reported(boolean truncated, long clock, long askedAt, long now) {
    hasReported = true;
    reportTruncated = truncated;
    fastestAnswerMillis = Math.min(fastestAnswerMillis, now - askedAt);
    confirmed = Optional.of(ConfirmedBoot.after(confirmed, clock, askedAt));
  }

  /** Returns whether the last report left out ends. */
  boolean isReportTruncated() {
    return reportTruncated;
  }

  void markSilent(long now) {
    confirmed = Optional.empty();
    if (silentSince == NEVER) {
      silentSince = now;
      silenceReasons.clear();
    }
  }

  /** Records why a call was not answered; returns whether that is new since the last answer. */
  boolean addSilenceReason(String reason) {
    return silenceReasons.size() < MAX_SILENCE_REASONS && silenceReasons.add(reason);
  }

  /** Returns since when the executor has not answered; meaningful while it is silent. */
  long silentSince() {
    return silentSince;
  }

  boolean isSilent() {
    return silentSince != NEVER;
  }

  /** Returns whether the executor has reported to this owner and answers. */
  boolean answers() {
    return hasReported && !isSilent();
  }

  boolean hasClock() {
    return lease.hasClock();
  }

  /** Returns until when the executor may run tasks, and by which clock. */
  ExecutorLease lease() {
    return lease;
  }

  /**
   * Returns when the last lease that this owner knows of has lapsed. Calls that are carried out
   * late are of no concern on an executor that is not announced any more: it is probably gone.
   */
  long leaseLapsesAt() {
    return listed ? Math.max(lease.lapsesAt(), lease.lateLapsesAt()) : lease.lapsesAt();
  }

  boolean leaseLapsed(long now) {
    return now > leaseLapsesAt();
  }

  long lastReceivedEnd() {
    return lastReceivedEnd;
  }

  void endReceived(long number) {
    lastReceivedEnd = Math.max(lastReceivedEnd, number);
  }

  void endsStored(long number, long boot, long now) {
    if (boot != bootMillis) {
      return;
    }
    if (!isAcknowledgementDue()) {
      acknowledgementDueSince = now;
    }
    lastStoredEnd = Math.max(lastStoredEnd, number);
  }

  /** Returns the fencing token of calls to the executor. */
  CallFence fence() {
    return fence;
  }

  Quarantine quarantine() {
    return quarantine;
  }

  /** Returns whether a run was sent to another boot than the present one, as far as is known. */
  boolean isForeign(Run run) {
    return run.bootMillis() != 0 && run.bootMillis() != bootMillis;
  }

  /**
   * Records the number up to which the renewal that was just answered told the executor that it may
   * delete ends. A later boot numbers its ends anew, so the number does not concern it.
   */
  void acknowledgedEnd(long number, long now) {
    if (bootMillis == renewalBootMillis && number > acknowledgedEnd) {
      acknowledgedEnd = number;
      acknowledgementDueSince = now;
    }
  }

  /**
   * Returns whether starts have to wait for an acknowledgement: one is in flight, or is overdue
   * because other starts are. The latter ends with the acknowledgement, or after a second.
   */
  boolean mustWaitForAcknowledgement(long now) {
    long waited = now - acknowledgementDueSince;
    boolean overdue =
        isAcknowledgementDue()
            && answers()
            && waited >= OVERDUE_ACKNOWLEDGEMENT_MILLIS
            && waited < MAX_WAIT_FOR_ACKNOWLEDGEMENT_MILLIS;
    return isAcknowledgementInFlight() || overdue;
  }

  /**
   * Returns the number up to which the executor may delete ends, or 0 if it was told already. A
   * later boot that received the number would delete ends of its own, which nobody has read.
   * Therefore it is sent only directly after a report of the boot that numbered the ends, not while
   * a start is in flight, and not repeated.
   */
  long endToAcknowledge(long now) {
    long maxAge = CONFIRMED_BOOT_MILLIS + fastestAnswerMillis;
    boolean mayAcknowledge =
        confirmed.filter(c -> now - c.earliestReportAt() <= maxAge).isPresent();
    return isAcknowledgementDue() && mayAcknowledge && !isStartInFlight() ? lastStoredEnd : 0;
  }

  /** Returns whether the executor may delete ends that it was not told to delete yet. */
  boolean isAcknowledgementDue() {
    return lastStoredEnd > acknowledgedEnd;
  }

  /** Returns whether received ends are not stored yet. */
  boolean hasEndsToStore() {
    return lastStoredEnd < lastReceivedEnd;
  }

  /** Returns when the executor last answered. */
  long answeredAt() {
    return lease.answeredAt();
  }

  /** Returns whether received ends are not acknowledged to the executor yet. */
  boolean hasEndsToAcknowledge() {
    return acknowledgedEnd < lastReceivedEnd;
  }

  boolean hasLabel(String label) {
    return label.isEmpty() || info.labels().contains(label);
  }

  Set<String> labels() {
    return info.labels();
  }
}
