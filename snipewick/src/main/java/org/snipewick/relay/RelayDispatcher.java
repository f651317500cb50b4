package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.snipewick.body.RequestBodies;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.fleet.EndpointLimit;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.placement.PlacementGrant;
import org.snipewick.placement.PlacementListener;
import org.snipewick.placement.WaitingRequest;
import org.snipewick.quota.EndpointLimits;
import org.snipewick.quota.EndpointPermitStock;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.rollout.RequestVersion;
import org.snipewick.route.CallKind;

/**
 * Dispatches requests to endpoints: queues them until a slot is free, sends them, retries those
 * that may be retried, and cancels those whose deadline has passed. Used on one event loop only.
 */
final class RelayDispatcher implements StreamForwarder.CallHandler, Hedges.Sender {
  private static final int OK = 200;
  private static final Duration RETRY_AFTER_WITHOUT_POOL = Duration.ofSeconds(1);

  /** Time after which a version is chosen again for a request that no version may receive. */
  private static final Duration HELD_RETRY_PERIOD = Duration.ofMillis(20);

  private static final Duration RETRY_AFTER_REJECTION = Duration.ofMillis(300);

  private final RelayDependencies dependencies;
  private final EndpointRequests endpointRequests;
  private final RelayTelemetry telemetry;
  private final StreamForwarder streamForwarder;
  private final ResponseBodies responseBodies;
  private final RelayPools pools;
  private final CallQuarantine quarantine;
  private final PlannedStop plannedStop;
  private final EndpointLimits limits = EndpointLimits.empty();
  private final EndpointPermitStock permits;
  private final Hedges hedges;

  /** Calls that have not ended. */
  private final Set<RelayCall> openCalls = new LinkedHashSet<>();

  private Consumer<RegisteredEndpoint> departureListener = endpoint -> {};
  private long nextWaitingId;

  RelayDispatcher(RelayDependencies dependencies) {
    this.dependencies = requireNonNull(dependencies, "dependencies");
    this.permits =
        EndpointPermitStock.of(
            dependencies.quotas(),
            limits::limit,
            dependencies.timer(),
            dependencies.random(),
            this::decideAllPlacements);
    dependencies.quotas().setEndpointLimits(limits::limit);
    this.pools = new RelayPools(dependencies, permits);
    this.endpointRequests = new EndpointRequests(dependencies.headerNames());
    this.telemetry = new RelayTelemetry(dependencies);
    this.quarantine = new CallQuarantine(dependencies.quarantine(), dependencies.timer());
    dependencies.quarantine().onQuarantined(this::endQuarantinedCalls);
    this.plannedStop = new PlannedStop(dependencies.timer());
    this.responseBodies = new ResponseBodies(dependencies.memory());
    dependencies.metrics().gauge("limited_endpoints", () -> limits::size);
    this.hedges = new Hedges(dependencies, pools, telemetry, this);
    this.streamForwarder =
        new StreamForwarder(this, telemetry, dependencies.timer(), dependencies.memory());
  }

  /** Returns the filter that refuses requests with a part in quarantine. */
  RelayFilter quarantine() {
    return quarantine;
  }

  /** Returns the filter that refuses requests which cannot end before a planned stop does. */
  RelayFilter plannedStop() {
    return plannedStop;
  }

  /** Returns the pools, whose endpoints and peers may be set at any time. */
  RelayPools pools() {
    return pools;
  }

  /** Replaces the list of endpoints of all pools. */
  void updateEndpoints(Collection<RegisteredEndpoint> endpoints) {
    pools.updateEndpoints(endpoints);
    limits
        .retain(endpoints, now())
        .forEach(
            endpoint ->
                telemetry.endpointLimited(
                    endpoint, OptionalDouble.empty(), RelayTelemetry.LimitCause.ENTRY));
    permits.retain(endpoints.stream().map(RegisteredEndpoint::id).collect(Collectors.toSet()));
  }

  /** Sets the listener to endpoints that announce their departure in a response. */
  void onDepartureAnnounced(Consumer<RegisteredEndpoint> listener) {
    departureListener = requireNonNull(listener, "listener");
  }

  /**
   * Queues a request, sends it to an endpoint once one has a free slot, and returns the response.
   */
  Promise<HttpResponse> dispatch(RelayCall call) {
    Optional<PoolName> pool = call.route().choosePool(dependencies.random().nextDouble());
    if (pool.isEmpty()) {
      return Promise.ofException(
          Failure.notRun(FailureType.NO_ENDPOINT, "route has no pool")
              .withRetryAfter(RETRY_AFTER_WITHOUT_POOL)
              .toException());
    }
    call.setPool(pool.get());
    openCalls.add(call);
    runGuarded(call, () -> begin(call));
    return call.response();
  }

  private void begin(RelayCall call) {
    Duration timeLeft = Duration.ofNanos(Math.max(0, call.deadlineNanos() - now()));
    call.setDeadlineTimer(
        dependencies.timer().after(timeLeft, () -> runGuarded(call, () -> deadlinePassed(call))));
    quarantine.begin(call);
    pools.retryBudget(call.pool()).countRequest(now());
    hedges.begin(call);
    dependencies.trafficSplit().countRequest(call.pool());
    enqueue(call);
  }

  @Override
  public void runGuarded(RelayCall call, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error defect) {
      Steps.runAll(
          () -> telemetry.defect(call, defect),
          () -> {
            if (!call.isFinished()) {
              fail(call, Failure.unknown(FailureType.INTERNAL, "unexpected exception"));
            }
          });
    }
  }

  /**
   * Begins a planned stop: calls that cannot end before it does are no longer passed on, and those
   * that wait are refused at once.
   */
  void beginStop(Duration timeLeft) {
    plannedStop.begin(timeLeft);
    forEachOpenCall(
        call -> {
          if (!call.mayHaveRun() && !plannedStop.canEnd(call)) {
            fail(call, PlannedStop.refusal());
          }
        });
  }

  /** Ends all calls: with a response, or by breaking off a response that has begun. */
  void endAllCalls() {
    forEachOpenCall(call -> fail(call, PlannedStop.ending(call.mayHaveRun())));
  }

  private void forEachOpenCall(Consumer<RelayCall> step) {
    List.copyOf(openCalls).stream()
        .filter(call -> !call.isFinished())
        .forEach(call -> runGuarded(call, () -> step.accept(call)));
  }

  /** Cancels a call whose caller has disconnected. */
  void callerDisconnected(RelayCall call) {
    if (call.isFinished()) {
      return;
    }
    Steps.runAll(
        () -> telemetry.callerDisconnected(call, now()),
        () -> endAnywhere(call),
        () -> call.fail(Failure.unknown(FailureType.CALLER_LEFT, "caller closed the connection")));
  }

  private void endAnywhere(RelayCall call) {
    if (openCalls.contains(call)) {
      end(call);
    } else {
      call.finish();
    }
  }

  /** Refuses a call whose body has lost its memory while it waited. */
  void bodyEvicted(RelayCall call) {
    if (call.isFinished() || call.mayHaveRun()) {
      return;
    }
    if (openCalls.contains(call)) {
      runGuarded(call, () -> fail(call, RequestBodies.cannotKeep()));
    } else {
      call.fail(RequestBodies.cannotKeep());
      call.finish();
    }
  }

  private void endQuarantinedCalls() {
    quarantine
        .quarantinedCalls()
        .forEach((call, refusal) -> runGuarded(call, () -> fail(call, refusal)));
  }

  private void enqueue(RelayCall call) {
    call.version().end(now());
    RequestVersion version =
        dependencies.trafficSplit().choose(call.pool(), call.route().name(), call.attempts() > 0);
    call.setVersion(version);
    if (version.isHeld()) {
      dependencies.timer().after(HELD_RETRY_PERIOD, () -> enqueueIfOpen(call));
      return;
    }
    String waitingId = Long.toString(nextWaitingId++);
    call.setWaitingId(waitingId);
    WaitingRequest request =
        new WaitingRequest(
                waitingId,
                call.tier(),
                call.request().receivedNanos(),
                call.onTimeUntilNanos(),
                call.latestResponseStartNanos(),
                call.request().promptTokens(),
                call.triedEndpoints())
            .withTeam(call.team().map(team -> team.name().value()).orElse(""))
            .withFilter(version.filter());
    pools.placer().place(call.pool(), request, new DecisionHandler(call, waitingId));
  }

  private void enqueueIfOpen(RelayCall call) {
    if (!call.isFinished()) {
      runGuarded(call, () -> enqueue(call));
    }
  }

  /** Carries out the decision about a call, unless the call has ended or was queued again. */
  private final class DecisionHandler implements PlacementListener {
    private final RelayCall call;
    private final String waitingId;

    private DecisionHandler(RelayCall call, String waitingId) {
      this.call = call;
      this.waitingId = waitingId;
    }

    private boolean isExpected() {
      return !call.isFinished() && call.waitingId().equals(waitingId);
    }

    @Override
    public void onPlaced(PlacementDecision.Placed placed, PlacementGrant grant) {
      RelayAttempt attempt = new RelayAttempt(placed.endpoint(), grant, now());
      if (isExpected()) {
        runGuarded(call, () -> carryOut(placed, attempt));
      } else {
        attempt.end(AttemptResult.CANCELLED, now());
      }
    }

    private void carryOut(PlacementDecision.Placed placed, RelayAttempt attempt) {
      try {
        send(call, placed, attempt);
      } catch (RuntimeException | Error defect) {
        attempt.cancel(now());
        throw defect;
      }
    }

    @Override
    public void onRefused(PlacementDecision.Refused refused) {
      if (isExpected()) {
        runGuarded(call, () -> fail(call, Refusals.toFailure(refused, call.mayHaveRun())));
      }
    }
  }

  @Override
  public void decidePlacement(PoolName pool) {
    pools.placer().decide(pool);
  }

  private void decideAllPlacements() {
    pools.local().names().forEach(this::decidePlacement);
  }

  private void send(RelayCall call, PlacementDecision.Placed placed, RelayAttempt attempt) {
    if (call.team().isPresent() && !dependencies.plans().hasFreshProof()) {
      // The API key was checked before the request waited, and may have been revoked since.
      attempt.end(AttemptResult.CANCELLED, now());
      fail(call, call.unknownIfMayHaveRun(ApiKeyFilter.planNotProven(dependencies.plans())));
      return;
    }
    if (!call.mayHaveRun() && !plannedStop.canEnd(call)) {
      attempt.end(AttemptResult.CANCELLED, now());
      fail(call, PlannedStop.refusal());
      return;
    }
    Optional<Failure> refusal = quarantine.refusal(call);
    if (refusal.isPresent()) {
      attempt.end(AttemptResult.CANCELLED, now());
      fail(call, refusal.get());
      return;
    }
    call.beginAttempt(attempt);
    attempt.countFor(call.version(), now());
    telemetry.dispatched(call, placed, now());
    transmit(call, attempt);
    hedges.scheduleFor(call, attempt);
  }

  @Override
  public boolean mayRepeat(RelayCall call) {
    return call.route().isIdempotent()
        && call.stream().isEmpty()
        && call.attempts() < call.route().maxAttempts()
        && !quarantine.isSuspected(call)
        && quarantine.refusal(call).isEmpty()
        && plannedStop.canEnd(call)
        && (call.team().isEmpty() || dependencies.plans().hasFreshProof());
  }

  @Override
  public void transmit(RelayCall call, RelayAttempt attempt) {
    dependencies
        .transport()
        .send(endpointRequests.build(call, attempt.endpoint(), now()), attempt.exchange())
        .run(
            (response, thrown) ->
                runGuarded(
                    call,
                    () -> {
                      if (attempt.hasEnded()) {
                        return;
                      }
                      if (thrown != null) {
                        responseBroken(call, attempt, thrown);
                      } else {
                        headReceived(call, attempt, response);
                      }
                    }));
  }

  private void headReceived(RelayCall call, RelayAttempt attempt, HttpResponse response) {
    if (call.isFinished()) {
      attempt.cancel(now());
      return;
    }
    attempt.advance(RelayAttempt.Progress.HEAD);
    EndpointResponseHead head = EndpointResponseHead.of(response);
    if (head.announcesDeparture(dependencies.headerNames())) {
      departureListener.accept(attempt.endpoint());
    }
    head.requestedPause().ifPresent(pause -> attempt.pause(pause, now()));
    head.reportedLoad(dependencies.headerNames())
        .ifPresent(load -> attempt.updateReportedLoad(load, now()));
    Optional<String> error = head.protocolError(call.request().id(), dependencies.headerNames());
    recordLimit(attempt, head, error.isEmpty());
    if (error.isPresent()) {
      attempt.exchange().cancel();
      attemptFailed(call, attempt, error.get());
      return;
    }
    if (!head.isMisdirected()) {
      quarantine.recordResponse(attempt);
    }
    if (head.wasNotRun(dependencies.headerNames())) {
      attempt.exchange().cancel();
      attemptRejected(call, attempt, head);
    } else if (head.impliesNotRun(dependencies.headerNames())) {
      // The request may have run, so that this status must not reach the caller.
      attemptFailed(
          call, attempt, "endpoint failed and may have run the request, status " + head.status());
    } else if (head.isServerError() && hedges.leaveToOther(call, attempt, AttemptResult.FAILED)) {
      decidePlacement(call.pool());
    } else if (head.isServerError() && tryAcquireRetry(call)) {
      attempt.exchange().cancel();
      attempt.end(AttemptResult.FAILED, now());
      retry(call, attempt, "endpoint responded with status " + head.status());
    } else if (call.route().kind() == CallKind.STREAM
        && head.status() == OK
        && StreamForwarder.isSameContent(call, head)) {
      streamForwarder.forward(call, attempt, head, response.takeBodyStream());
    } else if (call.stream().isPresent()) {
      attempt.exchange().cancel();
      attemptFailed(call, attempt, "endpoint did not resume the stream, status " + head.status());
    } else {
      if (head.isServerError()) {
        call.cancelHedgeTimer();
      } else {
        hedges.responded(call, attempt);
      }
      bufferBody(call, attempt, head, response);
    }
  }

  /** Records a limit, or its end if the response belongs to the request of the attempt. */
  private void recordLimit(RelayAttempt attempt, EndpointResponseHead head, boolean isValid) {
    EndpointId endpoint = attempt.endpoint().id();
    OptionalDouble limit = head.requestLimit(dependencies.headerNames());
    if (!head.isMisdirected()
        && (isValid || limit.isPresent())
        && limits.update(endpoint, limit, attempt.placedNanos(), now())) {
      telemetry.endpointLimited(endpoint, limit, RelayTelemetry.LimitCause.RESPONSE);
    }
  }

  /** Returns the limits that responses to this instance have named or ended lately. */
  Map<EndpointId, EndpointLimit> reportedLimits() {
    return limits.reported(now());
  }

  /** Applies a limit that a response to another instance has named or ended. */
  void adoptLimit(EndpointId endpoint, EndpointLimit limit) {
    if (limits.adopt(endpoint, limit, now())) {
      telemetry.endpointLimited(endpoint, limits.limit(endpoint), RelayTelemetry.LimitCause.REPORT);
    }
  }

  private void bufferBody(
      RelayCall call, RelayAttempt attempt, EndpointResponseHead head, HttpResponse response) {
    responseBodies
        .read(response.takeBodyStream())
        .run(
            (body, thrown) ->
                runGuarded(
                    call,
                    () -> {
                      if (call.isFinished()) {
                        attempt.cancel(now());
                      } else if (thrown != null) {
                        responseBroken(call, attempt, thrown);
                      } else {
                        deliver(call, attempt, head, body);
                      }
                    }));
  }

  private void deliver(
      RelayCall call, RelayAttempt attempt, EndpointResponseHead head, byte[] body) {
    HttpResponse response = RelayResponses.buffered(head.status(), head.headers(), body);
    Steps.runAll(
        () -> attempt.endWithResponse(!head.isServerError(), now()),
        () -> succeed(call, head.status()),
        () -> call.response().trySet(response),
        () -> decidePlacement(call.pool()));
  }

  private void attemptRejected(RelayCall call, RelayAttempt attempt, EndpointResponseHead head) {
    AttemptResult result =
        head.isMisdirected() ? AttemptResult.MISDIRECTED : AttemptResult.REJECTED;
    if (hedges.leaveToOther(call, attempt, result)) {
      decidePlacement(call.pool());
      return;
    }
    attempt.end(result, now());
    call.markNotRun();
    String detail = "endpoint did not run the request, status " + head.status();
    if (call.attempts() < call.route().maxAttempts()
        && pools.retryBudget(call.pool()).trySpend(now())) {
      retry(call, attempt, detail);
    } else {
      Failure refused =
          Failure.notRun(FailureType.ENDPOINT_REFUSED, detail)
              .withRetryAfter(RETRY_AFTER_REJECTION);
      fail(call, call.unknownIfMayHaveRun(refused));
    }
    decidePlacement(call.pool());
  }

  @Override
  public void responseBroken(RelayCall call, RelayAttempt attempt, Exception thrown) {
    recordBrokenResponse(call, attempt, thrown);
    attemptFailed(call, attempt, thrown.toString());
  }

  @Override
  public void recordBrokenResponse(RelayCall call, RelayAttempt attempt, Exception thrown) {
    if (!call.isFinished() && attempt.exchange().mayHaveBeenSent()) {
      telemetry.responseBroken(call, attempt, thrown.toString(), now());
      if (!(thrown instanceof FailureException)) {
        // Not for a response that this instance has broken off, which is no crash.
        quarantine.recordBrokenResponse(call, attempt);
        attempt.countFailure();
      }
    }
  }

  private void attemptFailed(RelayCall call, RelayAttempt attempt, String detail) {
    if (call.isFinished()) {
      attempt.cancel(now());
      return;
    }
    attempt.exchange().cancel();
    boolean wasSent = attempt.exchange().mayHaveBeenSent();
    if (hedges.leaveToOther(
        call, attempt, wasSent ? AttemptResult.FAILED : AttemptResult.UNREACHABLE)) {
      decidePlacement(call.pool());
      return;
    }
    if (!wasSent) {
      attempt.end(AttemptResult.UNREACHABLE, now());
      call.markNotSent();
      retry(call, attempt, "request was not sent: " + detail);
      return;
    }
    attempt.end(AttemptResult.FAILED, now());
    if (tryAcquireRetry(call)) {
      retry(call, attempt, detail);
    } else {
      fail(call, Failure.unknown(FailureType.OUTCOME_UNKNOWN, detail));
    }
    decidePlacement(call.pool());
  }

  @Override
  public boolean tryAcquireRetry(RelayCall call) {
    return call.route().isIdempotent()
        && !quarantine.isSuspected(call)
        && call.attempts() < call.route().maxAttempts()
        && now() - call.deadlineNanos() < 0
        && pools.retryBudget(call.pool()).trySpend(now());
  }

  @Override
  public void retry(RelayCall call, RelayAttempt failed, String detail) {
    telemetry.retried(call, failed, detail, now());
    enqueue(call);
  }

  private void deadlinePassed(RelayCall call) {
    if (call.isFinished()) {
      return;
    }
    boolean mayHaveRun = call.mayHaveRun() || call.attempt().isPresent();
    if (mayHaveRun) {
      plannedStop.recordEnd(call);
    }
    fail(
        call,
        mayHaveRun
            ? Failure.unknown(
                FailureType.DEADLINE_EXCEEDED, "no complete response before the deadline")
            : Failure.notRun(FailureType.DEADLINE_UNREACHABLE, "no free slot before the deadline"));
  }

  @Override
  public void responded(RelayCall call, RelayAttempt attempt) {
    hedges.responded(call, attempt);
  }

  @Override
  public void succeed(RelayCall call, int status) {
    Steps.runAll(
        () -> telemetry.delivered(call, status, now()),
        () -> quarantine.recordAnswer(call, status),
        () -> plannedStop.recordEnd(call),
        call::endAttempt,
        () -> finish(call));
  }

  /** Responds with a failure, or aborts a response that has already begun. */
  private void fail(RelayCall call, Failure failure) {
    boolean freesSlot = call.attempt().isPresent();
    Steps.runAll(
        () -> telemetry.failed(call, failure, now()),
        () -> release(call),
        () -> call.takeResumption().ifPresent(rest -> rest.setException(failure.toException())),
        () -> call.stream().ifPresent(stream -> stream.closeEx(failure.toException())),
        () -> call.fail(failure),
        () -> decidePlacementIf(freesSlot, call.pool()));
  }

  @Override
  public void end(RelayCall call) {
    boolean freesSlot = call.attempt().isPresent();
    Steps.runAll(() -> release(call), () -> decidePlacementIf(freesSlot, call.pool()));
  }

  private void decidePlacementIf(boolean isSlotFree, PoolName pool) {
    if (isSlotFree) {
      decidePlacement(pool);
    }
  }

  /** Ends a call and returns all that it uses. */
  private void release(RelayCall call) {
    Optional<RelayAttempt> attempt = call.attempt();
    call.endAttempt();
    Steps.runAll(
        () -> finish(call),
        () -> pools.placer().withdraw(call.pool(), call.waitingId()),
        () -> attempt.ifPresent(running -> running.cancel(now())));
  }

  private void finish(RelayCall call) {
    Steps.runAll(
        () -> openCalls.remove(call),
        () -> quarantine.end(call),
        () -> call.takeHedge().ifPresent(running -> running.cancel(now())),
        () -> call.version().end(now()),
        call::finish);
  }

  private long now() {
    return dependencies.timer().nanoTime();
  }
}
