package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.placement.Ended;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.placement.QueueOrder;
import org.snipewick.placement.RepeatBudget;
import org.snipewick.placement.WaitingRequest;
import org.snipewick.roster.RosterEndpoint;
import org.snipewick.route.CallKind;

/**
 * Takes requests to endpoints: lets them wait for a place, sends them, sends those once more that
 * may be, and gives up what can no longer be answered. On one event loop.
 */
final class RelayDispatcher implements StreamDispatch.Calls {
  /** Places that others free, and pauses of endpoints that end, are noticed after this time. */
  private static final Duration REVIEW_PERIOD = Duration.ofMillis(20);

  private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
  private static final int OK = 200;
  private static final Duration RETRY_WITHOUT_POOL = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER_REJECTION = Duration.ofMillis(300);

  private final RelayServices services;
  private final EndpointRequests requests;
  private final RelayRecords records;
  private final StreamDispatch streams;
  private final Map<PoolName, PoolPlacement> pools = new HashMap<>();
  private final Map<PoolName, RepeatBudget> budgets = new HashMap<>();
  private final Map<String, RelayCall> waiting = new HashMap<>();
  private boolean isReviewPlanned;
  private Set<InstanceId> peers = Set.of();
  private long sequence;

  RelayDispatcher(RelayServices services) {
    this.services = requireNonNull(services, "services");
    this.requests = new EndpointRequests(services.names());
    this.records = new RelayRecords(services);
    this.streams = new StreamDispatch(this, records, services.timer());
  }

  /** Sets which other instances share endpoints and the budget of repeats. */
  void peers(Set<InstanceId> others) {
    if (!peers.equals(others)) {
      peers = Set.copyOf(others);
      budgets.clear();
      pools.values().forEach(pool -> pool.peers(peers));
    }
  }

  /** Takes what another instance has at endpoints. */
  void peerPresent(InstanceId instance, Map<EndpointId, Integer> present) {
    pools.values().forEach(pool -> pool.peerPresent(instance, present, now()));
  }

  /** Counts own requests at endpoints. */
  Map<EndpointId, Integer> ownPresent() {
    Map<EndpointId, Integer> present = new HashMap<>();
    pools.values().forEach(pool -> present.putAll(pool.ownPresent()));
    return present;
  }

  /** Takes all endpoints as they are listed now. */
  void update(Collection<RosterEndpoint> endpoints) {
    Map<PoolName, List<RosterEndpoint>> byPool =
        endpoints.stream().collect(Collectors.groupingBy(RosterEndpoint::pool));
    byPool.keySet().forEach(this::pool);
    pools.forEach((name, pool) -> pool.update(byPool.getOrDefault(name, List.of())));
    List.copyOf(pools.keySet()).forEach(this::decide);
  }

  /** Tells whether there is an endpoint that takes requests. */
  boolean hasEndpoints() {
    return pools.values().stream().anyMatch(PoolPlacement::hasEndpoints);
  }

  /** Takes a request to an endpoint and brings its answer. */
  Promise<HttpResponse> dispatch(RelayCall call) {
    Optional<PoolName> pool = call.route().pool(services.random().nextDouble());
    if (pool.isEmpty()) {
      return Promise.ofException(
          Failure.notRun(FailureType.NO_ENDPOINT, "route has no pool")
              .withRetryAfter(RETRY_WITHOUT_POOL)
              .toException());
    }
    call.pool(pool.get());
    budget(call.pool()).countRequest(now());
    Duration left = Duration.ofNanos(Math.max(0, call.deadlineNanos() - now()));
    call.setDeadline(services.timer().after(left, () -> deadlinePassed(call)));
    enqueue(call);
    return call.response();
  }

  /** Gives a call up whose caller has left. */
  void callerLeft(RelayCall call) {
    if (call.isOver()) {
      return;
    }
    records.callerLeft(call, now());
    end(call);
    call.response()
        .trySetException(
            Failure.unknown(FailureType.CALLER_LEFT, "caller closed its connection").toException());
  }

  private void enqueue(RelayCall call) {
    String ticket = Long.toString(sequence++);
    call.setTicket(ticket);
    waiting.put(ticket, call);
    pool(call.pool())
        .add(
            new WaitingRequest(
                ticket,
                call.tier(),
                call.request().receivedNanos(),
                call.targetNanos(),
                call.lastStartNanos(),
                call.request().promptTokens(),
                call.tried()));
    decide(call.pool());
  }

  @Override
  public void decide(PoolName name) {
    PoolPlacement pool = pool(name);
    for (PlacementDecision decision : pool.decide(now())) {
      RelayCall call = waiting.remove(decision.request().id());
      if (call == null || call.isOver()) {
        continue;
      }
      if (decision instanceof PlacementDecision.Placed placed) {
        send(call, placed);
      } else {
        refuse(call, (PlacementDecision.Refused) decision);
      }
    }
    if (pool.waiting() > 0) {
      planReview();
    }
  }

  private void planReview() {
    if (!isReviewPlanned) {
      isReviewPlanned = true;
      services.timer().after(REVIEW_PERIOD, this::review);
    }
  }

  private void review() {
    isReviewPlanned = false;
    List.copyOf(pools.keySet()).forEach(this::decide);
  }

  private void refuse(RelayCall call, PlacementDecision.Refused refused) {
    FailureType type =
        switch (refused.reason()) {
          case NO_ENDPOINT -> FailureType.NO_ENDPOINT;
          case QUEUE_TOO_LONG -> FailureType.SHED;
          case WAITED_TOO_LONG -> FailureType.DEADLINE_UNREACHABLE;
        };
    Failure failure =
        call.mayHaveRun()
            ? Failure.unknown(FailureType.OUTCOME_UNKNOWN, "no further endpoint: " + type.title())
            : Failure.notRun(type, "no place at an endpoint").withRetryAfter(refused.retryAfter());
    fail(call, failure);
  }

  private void send(RelayCall call, PlacementDecision.Placed placed) {
    RelayAttempt attempt =
        new RelayAttempt(
            placed.endpoint(), pool(call.pool()), call.request().promptTokens(), now());
    if (call.team().isPresent() && !services.plans().isProven()) {
      attempt.end(Ended.CANCELLED, now());
      fail(call, call.orUnknown(KeyFilter.notProven(services.plans())));
      return;
    }
    call.begin(attempt);
    records.dispatched(call, placed, now());
    services
        .transport()
        .send(requests.build(call, placed.endpoint(), now()), attempt.exchange())
        .run(
            (response, thrown) -> {
              if (thrown != null) {
                broke(call, attempt, thrown.toString());
              } else {
                headArrived(call, attempt, response);
              }
            });
  }

  private void headArrived(RelayCall call, RelayAttempt attempt, HttpResponse response) {
    if (call.isOver()) {
      attempt.cancel(now());
      return;
    }
    EndpointHead head = EndpointHead.of(response);
    head.load(services.names())
        .ifPresent(load -> pool(call.pool()).report(attempt.endpoint().id(), load, now()));
    Optional<String> fault = head.fault(call.request().id(), services.names());
    if (fault.isPresent()) {
      attempt.exchange().cancel();
      broke(call, attempt, fault.get());
    } else if (head.wasNotRun(services.names())) {
      attempt.exchange().cancel();
      rejected(call, attempt, head);
    } else if (head.isServerError() && mayRepeat(call)) {
      attempt.exchange().cancel();
      attempt.end(Ended.FAILED, now());
      repeat(call, attempt, "endpoint failed: " + head.status());
    } else if (call.route().kind() == CallKind.STREAM && head.status() == OK) {
      streams.passOn(call, attempt, head, response.takeBodyStream());
    } else if (call.stream().isPresent()) {
      attempt.exchange().cancel();
      broke(call, attempt, "endpoint did not resume the stream: " + head.status());
    } else {
      loadWhole(call, attempt, head, response);
    }
  }

  private void loadWhole(
      RelayCall call, RelayAttempt attempt, EndpointHead head, HttpResponse response) {
    response
        .loadBody(MAX_ANSWER_BYTES)
        .run(
            (body, thrown) -> {
              if (call.isOver()) {
                attempt.cancel(now());
              } else if (thrown != null) {
                broke(call, attempt, thrown.toString());
              } else {
                byte[] content = body.getArray();
                attempt.answered(!head.isServerError(), now());
                succeed(call, head.status());
                call.response()
                    .trySet(RelayResponses.whole(head.status(), head.headers(), content));
                decide(call.pool());
              }
            });
  }

  private void rejected(RelayCall call, RelayAttempt attempt, EndpointHead head) {
    attempt.end(head.isMisdirected() ? Ended.MISDIRECTED : Ended.REJECTED, now());
    call.wasNotRun();
    String detail = "endpoint did not run it: " + head.status();
    if (call.attempts() < call.route().maxAttempts() && budget(call.pool()).tryRepeat(now())) {
      repeat(call, attempt, detail);
    } else {
      Failure refused =
          Failure.notRun(FailureType.ENDPOINT_REFUSED, detail)
              .withRetryAfter(RETRY_AFTER_REJECTION);
      fail(call, call.orUnknown(refused));
    }
    decide(call.pool());
  }

  @Override
  public void broke(RelayCall call, RelayAttempt attempt, String detail) {
    if (call.isOver()) {
      attempt.cancel(now());
      return;
    }
    if (!attempt.exchange().mayHaveBeenSent()) {
      attempt.end(Ended.UNREACHABLE, now());
      call.wasNotSent();
      repeat(call, attempt, "no connection: " + detail);
      return;
    }
    attempt.end(Ended.FAILED, now());
    if (mayRepeat(call)) {
      repeat(call, attempt, detail);
    } else {
      fail(call, Failure.unknown(FailureType.OUTCOME_UNKNOWN, detail));
    }
    decide(call.pool());
  }

  @Override
  public boolean mayRepeat(RelayCall call) {
    return call.route().isIdempotent()
        && call.attempts() < call.route().maxAttempts()
        && now() - call.deadlineNanos() < 0
        && budget(call.pool()).tryRepeat(now());
  }

  @Override
  public void repeat(RelayCall call, RelayAttempt failed, String detail) {
    records.repeated(call, failed, detail, now());
    enqueue(call);
  }

  private void deadlinePassed(RelayCall call) {
    if (call.isOver()) {
      return;
    }
    boolean mayHaveRun = call.mayHaveRun() || call.attempt().isPresent();
    fail(
        call,
        mayHaveRun
            ? Failure.unknown(FailureType.DEADLINE_EXCEEDED, "no whole answer in the agreed time")
            : Failure.notRun(FailureType.DEADLINE_UNREACHABLE, "no place in the agreed time"));
  }

  @Override
  public void succeed(RelayCall call, int status) {
    records.delivered(call, status, now());
    call.endAttempt();
    call.finish();
  }

  /** Answers with a failure, or breaks the answer off that has begun. */
  private void fail(RelayCall call, Failure failure) {
    records.failed(call, failure, now());
    end(call);
    call.takeResumption().ifPresent(each -> each.setException(failure.toException()));
    call.stream().ifPresent(stream -> stream.closeEx(failure.toException()));
    call.fail(failure);
  }

  @Override
  public void end(RelayCall call) {
    call.finish();
    waiting.remove(call.ticket());
    PoolPlacement pool = pool(call.pool());
    pool.remove(call.ticket());
    Optional<RelayAttempt> attempt = call.attempt();
    call.endAttempt();
    if (attempt.isPresent()) {
      attempt.get().cancel(now());
      decide(call.pool());
    }
  }

  private PoolPlacement pool(PoolName name) {
    return pools.computeIfAbsent(
        name,
        pool -> {
          PoolPlacement created =
              PoolPlacement.of(services.domain(), QueueOrder.byTierOnTimeFirst());
          created.peers(peers);
          return created;
        });
  }

  private RepeatBudget budget(PoolName name) {
    RelayServices.RepeatBound bound = services.repeats();
    return budgets.computeIfAbsent(
        name,
        pool -> RepeatBudget.of(bound.ratio(), bound.slack(), peers.size() + 1, bound.window()));
  }

  private long now() {
    return services.timer().nanoTime();
  }
}
