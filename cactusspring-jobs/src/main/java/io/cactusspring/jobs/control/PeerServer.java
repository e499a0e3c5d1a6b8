package io.cactusspring.jobs.control;

import io.cactusspring.jobs.link.PeerMessage;
import io.cactusspring.jobs.link.PeerMessage.OwnerPhase;
import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.model.HostIdentity;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.port.PeerLink;
import io.cactusspring.jobs.port.PeerNetwork;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Accepts the links of other entry hosts: tells them whether this host owns the executors, and
 * answers their requests while it does.
 */
final class PeerServer {
  /** Status interval up to this number of links; above, the interval grows with the number. */
  private static final long MIN_STATUS_INTERVAL_MILLIS = 250;

  private static final int MAX_STATUSES_PER_SECOND = 400;
  private static final long TICK_MILLIS = 50;

  /** Hosts say hello every two seconds. */
  private static final long SILENT_LINK_MILLIS = 5_000;

  private static final long ADVICE_REPLY_MARGIN_MILLIS = 200;

  /** What the server tells about the last term of this host. */
  interface Term {
    long number();

    OwnerPhase phase();

    /** Returns when the last record was sent that is known to be stored. */
    long lastStoredSentAt();

    /** Returns the learned duration factors of executor labels, for a later owner. */
    Map<String, Double> durationFactors();

    /** Returns the owner's decisions; empty unless the term is active. */
    Optional<OwnerController> controller();

    /** Called when another host can make advice calls. */
    void hostAdded(String host, AdviceService service);

    /**
     * Called when a link through which another host could make advice calls has closed. The host
     * may have opened another one before.
     */
    void hostRemoved(String host, AdviceService service);
  }

  private final HostIdentity self;
  private final Timers timers;
  private final JobLog log;
  private final Set<Inbound> links = new LinkedHashSet<>();
  private Optional<Term> term = Optional.empty();
  private long statusSentAt;

  PeerServer(PeerNetwork network, HostIdentity self, Timers timers, JobLog log) {
    this.self = self;
    this.timers = timers;
    this.log = log;
    network.onAccept(this::accept);
  }

  /** Starts sending statuses. */
  void start() {
    tick();
  }

  private PeerLink.Handler accept(PeerLink link) {
    Inbound inbound = new Inbound(link);
    links.add(inbound);
    return inbound;
  }

  /** Sets the term of this host and tells all other hosts. */
  void setTerm(Term begun) {
    term = Optional.of(begun);
    introduced().forEach(l -> begun.hostAdded(l.name(), l));
    sendStatuses();
  }

  /** Tells all other hosts how far the term of this host is. */
  void termChanged() {
    sendStatuses();
  }

  private List<Inbound> introduced() {
    return links.stream().filter(l -> l.hello.isPresent()).toList();
  }

  private void tick() {
    long now = timers.nowMillis();
    List.copyOf(links).stream()
        .filter(l -> now - l.heardAt > SILENT_LINK_MILLIS)
        .forEach(l -> l.link.close());
    if (now - statusSentAt >= intervalMillis()) {
      sendStatuses();
    }
    timers.after(TICK_MILLIS, this::tick);
  }

  private long intervalMillis() {
    return Math.max(MIN_STATUS_INTERVAL_MILLIS, 1_000L * links.size() / MAX_STATUSES_PER_SECOND);
  }

  private void sendStatuses() {
    statusSentAt = timers.nowMillis();
    List<Inbound> successors =
        introduced().stream()
            .sorted(
                Comparator.comparingInt((Inbound l) -> -l.hello.orElseThrow().milliProcessors())
                    .thenComparing(Inbound::name))
            .toList();
    for (int i = 0; i < successors.size(); i++) {
      successors.get(i).rank = OptionalInt.of(i);
      successors.get(i).sendStatus();
    }
  }

  private final class Inbound implements PeerLink.Handler, AdviceService {
    private final PeerLink link;
    private final PeerCalls calls;
    private Optional<PeerMessage.Hello> hello = Optional.empty();
    private final long openedAt = timers.nowMillis();
    private long heardAt = openedAt;
    private OptionalInt rank = OptionalInt.empty();

    Inbound(PeerLink link) {
      this.link = link;
      calls = new PeerCalls(link, timers);
    }

    private String name() {
      return hello.map(PeerMessage.Hello::incarnation).orElse("");
    }

    private void sendStatus() {
      long now = timers.nowMillis();
      link.send(
          new PeerMessage.OwnerStatus(
              self.incarnation(),
              term.map(Term::number).orElse(0L),
              term.map(Term::phase).orElse(OwnerPhase.NONE),
              term.map(t -> now - t.lastStoredSentAt()).orElse(0L),
              intervalMillis(),
              rank,
              term.map(Term::durationFactors).orElse(Map.of())));
    }

    @Override
    public void received(PeerMessage message) {
      heardAt = timers.nowMillis();
      switch (message) {
        case PeerMessage.Hello m -> introduce(m);
        case PeerMessage.Reply reply -> calls.replied(reply);
        case PeerMessage.Submit m -> answer(m, c -> c.submit(m.job()).map(v -> verdict(m.id(), v)));
        case PeerMessage.Cancel m -> answer(m, c -> c.cancel(m.job()).map(v -> verdict(m.id(), v)));
        case PeerMessage.GetState m ->
            answer(m, c -> c.state(m.job()).map(s -> new PeerMessage.StateReply(m.id(), s)));
        case PeerMessage.CountWaiting m ->
            answer(
                m,
                c ->
                    Future.succeededFuture(
                        new PeerMessage.CountReply(m.id(), c.countUnstarted(m.queue()))));
        case PeerMessage.GetAdvice m -> refuse(m);
        case PeerMessage.OwnerStatus m -> refuse(m);
      }
    }

    private void introduce(PeerMessage.Hello message) {
      boolean first = hello.isEmpty();
      hello = Optional.of(message);
      if (first) {
        logLink(JobEvent.PEER_LINKED, message);
        sendStatus();
        term.ifPresent(t -> t.hostAdded(name(), this));
      }
    }

    private void logLink(JobEvent event, PeerMessage.Hello peer) {
      log.event(
          event,
          "peer",
          peer.host(),
          "incarnation",
          peer.incarnation(),
          "openMillis",
          timers.nowMillis() - openedAt,
          "links",
          introduced().size());
    }

    private static PeerMessage.Reply verdict(long id, VerdictReason verdict) {
      return new PeerMessage.Verdict(
          id, verdict.kind(), verdict.reason(), verdict.retryAfterMillis());
    }

    private void answer(PeerMessage.Request request, Answer answer) {
      Optional<OwnerController> controller = term.flatMap(Term::controller);
      if (controller.isEmpty()) {
        link.send(
            new PeerMessage.Failure(request.id(), self.host() + " does not own the executors"));
        return;
      }
      answer
          .of(controller.get())
          .onComplete(
              link::send,
              problem ->
                  link.send(
                      new PeerMessage.Failure(request.id(), String.valueOf(problem.getMessage()))));
    }

    private void refuse(PeerMessage message) {
      log.event(
          JobEvent.LINK_REFUSED,
          "peer",
          name(),
          "reason",
          "unexpected message " + message.getClass().getSimpleName());
      link.close();
    }

    @Override
    public void closed() {
      calls.closed();
      links.remove(this);
      hello.ifPresent(h -> logLink(JobEvent.PEER_UNLINKED, h));
      term.ifPresent(this::removeFrom);
    }

    /** Removes this link from a term, which goes on with another link of the same host. */
    private void removeFrom(Term current) {
      current.hostRemoved(name(), this);
      introduced().stream()
          .filter(l -> l.name().equals(name()))
          .reduce((first, second) -> second)
          .ifPresent(l -> current.hostAdded(l.name(), l));
    }

    @Override
    public Future<Map<String, String>> requestAdvice(
        StepId step, List<String> executors, long timeoutMillis) {
      return calls
          .call(
              id -> new PeerMessage.GetAdvice(id, step, executors, timeoutMillis),
              PeerMessage.AdviceReply.class,
              timeoutMillis + ADVICE_REPLY_MARGIN_MILLIS)
          .map(PeerMessage.AdviceReply::tickets);
    }
  }

  /** Computes the reply to a request. */
  @FunctionalInterface
  private interface Answer {
    Future<PeerMessage.Reply> of(OwnerController controller);
  }
}
