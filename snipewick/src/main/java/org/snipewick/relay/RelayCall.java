package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.http.HttpResponse;
import io.activej.promise.SettablePromise;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.snipewick.body.RequestBodies;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.rollout.RequestVersion;
import org.snipewick.route.CallKind;
import org.snipewick.route.Route;
import org.snipewick.route.RoutingPlan;
import org.snipewick.route.TeamPlan;
import org.snipewick.time.TimerService;

/** State of one request from its arrival to its end; used on one event loop only. */
final class RelayCall {
  private final RelayRequest request;
  private final RequestBodies.KeptBody body;
  private final SettablePromise<HttpResponse> response = new SettablePromise<>();
  private final Set<EndpointId> triedEndpoints = new HashSet<>();
  private RoutingPlan plan;
  private Route route;
  private Optional<TeamPlan> team = Optional.empty();
  private Optional<QuotaCharge> quotaCharge = Optional.empty();
  private PoolName pool;
  private int attempts;
  private int attemptsThatMayHaveRun;
  private String waitingId = "";
  private Optional<SettablePromise<ChannelSupplier<ByteBuf>>> resumption = Optional.empty();
  private Optional<RelayAttempt> attempt = Optional.empty();
  private Optional<RelayAttempt> hedge = Optional.empty();
  private Optional<RelayStream> stream = Optional.empty();
  private TimerService.Subscription deadlineTimer = () -> {};
  private TimerService.Subscription hedgeTimer = () -> {};
  private Runnable onFinished = () -> {};
  private RequestVersion version = RequestVersion.ANY;
  private boolean isFinished;

  RelayCall(RelayRequest request, RequestBodies.KeptBody body) {
    this.request = requireNonNull(request, "request");
    this.body = requireNonNull(body, "body");
  }

  RelayRequest request() {
    return request;
  }

  SettablePromise<HttpResponse> response() {
    return response;
  }

  void setRoute(RoutingPlan current, Route found) {
    plan = requireNonNull(current, "current");
    route = requireNonNull(found, "found");
  }

  RoutingPlan plan() {
    return plan;
  }

  Route route() {
    return route;
  }

  void setTeam(TeamPlan found) {
    team = Optional.of(found);
  }

  Optional<TeamPlan> team() {
    return team;
  }

  void setQuotaCharge(QuotaCharge charge) {
    quotaCharge = Optional.of(charge);
  }

  /** Returns what was charged to the quota of the team; empty if it has none. */
  Optional<QuotaCharge> quotaCharge() {
    return quotaCharge;
  }

  /** Returns the tier of the team; that of the route if the team has none. */
  Tier tier() {
    return team.flatMap(TeamPlan::tier).orElse(route.tier());
  }

  /** Returns the earlier of the caller's and the route's deadline, as monotonic nanoseconds. */
  long deadlineNanos() {
    long timeoutNanos = route.timeout().toNanos();
    return request.receivedNanos()
        + Math.min(timeoutNanos, request.timeLeftNanos().orElse(timeoutNanos));
  }

  /** Returns the monotonic time, in nanoseconds, by which a response must begin to be on time. */
  long onTimeUntilNanos() {
    return request.receivedNanos() + route.targetLatency().toNanos();
  }

  /**
   * Returns the monotonic time, in nanoseconds, until which callers wait for a response to begin.
   */
  long latestResponseStartNanos() {
    long answerStartTimeoutNanos = route.answerStartTimeout().toNanos();
    return Math.min(deadlineNanos(), request.receivedNanos() + answerStartTimeoutNanos);
  }

  void setDeadlineTimer(TimerService.Subscription timer) {
    deadlineTimer = requireNonNull(timer, "timer");
  }

  void setPool(PoolName chosen) {
    pool = requireNonNull(chosen, "chosen");
  }

  PoolName pool() {
    return pool;
  }

  Set<EndpointId> triedEndpoints() {
    return triedEndpoints;
  }

  int attempts() {
    return attempts;
  }

  /** Begins an attempt at an endpoint; from now on the request may have run. */
  void beginAttempt(RelayAttempt started) {
    body.pin();
    attempt = Optional.of(started);
    triedEndpoints.add(started.endpoint().id());
    attempts++;
    attemptsThatMayHaveRun++;
  }

  /** Begins a second attempt while the first one is running. */
  void beginHedge(RelayAttempt started) {
    hedge = Optional.of(started);
    triedEndpoints.add(started.endpoint().id());
    attempts++;
    attemptsThatMayHaveRun++;
  }

  /** Returns the second attempt while both are running. */
  Optional<RelayAttempt> hedge() {
    return hedge;
  }

  /** Returns the attempt that is running beside the given one; empty if there is none. */
  Optional<RelayAttempt> other(RelayAttempt running) {
    return hedge.filter(second -> second == running).isPresent() ? attempt : hedge;
  }

  /** Removes one of two running attempts; the other one is the current attempt from now on. */
  void drop(RelayAttempt dropped) {
    attempt = other(dropped);
    hedge = Optional.empty();
  }

  /** Records that a dropped attempt has not run, and that it does not count if it was not sent. */
  void countDroppedAsNotRun(boolean wasSent) {
    attemptsThatMayHaveRun--;
    attempts -= wasSent ? 0 : 1;
  }

  /** Removes and returns the second attempt. */
  Optional<RelayAttempt> takeHedge() {
    Optional<RelayAttempt> taken = hedge;
    hedge = Optional.empty();
    return taken;
  }

  void setHedgeTimer(TimerService.Subscription timer) {
    hedgeTimer = requireNonNull(timer, "timer");
  }

  void cancelHedgeTimer() {
    hedgeTimer.cancel();
  }

  boolean isStreamRoute() {
    return route.kind() == CallKind.STREAM;
  }

  /** Records that the current attempt was not sent to its endpoint and does not count. */
  void markNotSent() {
    attempts--;
    attemptsThatMayHaveRun--;
    attempt = Optional.empty();
  }

  /** Records that the endpoint stated that it did not run the current attempt. */
  void markNotRun() {
    attemptsThatMayHaveRun--;
    attempt = Optional.empty();
  }

  /** Returns whether an endpoint may have run the request. */
  boolean mayHaveRun() {
    return attemptsThatMayHaveRun > 0;
  }

  /** Returns the failure itself, or an unknown outcome if an endpoint may have run the request. */
  Failure unknownIfMayHaveRun(Failure failure) {
    return mayHaveRun() ? Failure.unknown(FailureType.OUTCOME_UNKNOWN, failure.detail()) : failure;
  }

  /** Sets the version of the endpoints for the next attempt. */
  void setVersion(RequestVersion chosen) {
    version = requireNonNull(chosen, "chosen");
  }

  RequestVersion version() {
    return version;
  }

  void setWaitingId(String id) {
    waitingId = requireNonNull(id, "id");
  }

  /** Returns the identifier under which the request was last queued. */
  String waitingId() {
    return waitingId;
  }

  void setResumption(SettablePromise<ChannelSupplier<ByteBuf>> rest) {
    resumption = Optional.of(rest);
  }

  /** Removes and returns the promise for the rest of a broken stream; empty if there is none. */
  Optional<SettablePromise<ChannelSupplier<ByteBuf>>> takeResumption() {
    Optional<SettablePromise<ChannelSupplier<ByteBuf>>> taken = resumption;
    resumption = Optional.empty();
    return taken;
  }

  /** Removes the current attempt. */
  void endAttempt() {
    attempt = Optional.empty();
  }

  Optional<RelayAttempt> attempt() {
    return attempt;
  }

  void setStream(RelayStream started) {
    stream = Optional.of(started);
  }

  Optional<RelayStream> stream() {
    return stream;
  }

  boolean isFinished() {
    return isFinished;
  }

  /** Sets the task that runs when the call has ended. */
  void onFinished(Runnable task) {
    onFinished = requireNonNull(task, "task");
  }

  /** Ends the call; later events of it are ignored. */
  void finish() {
    if (!isFinished) {
      isFinished = true;
      deadlineTimer.cancel();
      hedgeTimer.cancel();
      onFinished.run();
    }
  }

  /** Completes the response with a failure; has no effect if it is already complete. */
  void fail(Failure failure) {
    response.trySetException(failure.toException());
  }
}
