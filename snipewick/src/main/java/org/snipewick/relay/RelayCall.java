package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.http.HttpResponse;
import io.activej.promise.SettablePromise;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.route.Route;
import org.snipewick.route.RoutingPlan;
import org.snipewick.route.TeamPlan;
import org.snipewick.time.TimerService;

/** State of one request on its way through the filters and to endpoints; on one event loop. */
final class RelayCall {
  private final RelayRequest request;
  private final SettablePromise<HttpResponse> response = new SettablePromise<>();
  private final Set<EndpointId> tried = new HashSet<>();
  private RoutingPlan plan;
  private Route route;
  private Optional<TeamPlan> team = Optional.empty();
  private PoolName pool;
  private int attempts;
  private int unclearAttempts;
  private String ticket = "";
  private Optional<SettablePromise<ChannelSupplier<ByteBuf>>> resumption = Optional.empty();
  private Optional<RelayAttempt> attempt = Optional.empty();
  private Optional<RelayStream> stream = Optional.empty();
  private TimerService.Subscription deadline = () -> {};
  private Runnable whenFinished = () -> {};
  private boolean isOver;

  RelayCall(RelayRequest request) {
    this.request = requireNonNull(request, "request");
  }

  RelayRequest request() {
    return request;
  }

  SettablePromise<HttpResponse> response() {
    return response;
  }

  void routed(RoutingPlan inForce, Route found) {
    plan = requireNonNull(inForce, "inForce");
    route = requireNonNull(found, "found");
  }

  RoutingPlan plan() {
    return plan;
  }

  Route route() {
    return route;
  }

  void authenticated(TeamPlan caller) {
    team = Optional.of(caller);
  }

  Optional<TeamPlan> team() {
    return team;
  }

  Tier tier() {
    return team.flatMap(TeamPlan::tier).orElse(route.tier());
  }

  /** Returns the monotonic time at which it is given up: its caller's or its route's. */
  long deadlineNanos() {
    long limit = route.timeout().toNanos();
    return request.receivedNanos() + Math.min(limit, request.timeLeftNanos().orElse(limit));
  }

  long targetNanos() {
    return request.receivedNanos() + route.targetLatency().toNanos();
  }

  /** Returns the monotonic time after which its caller no longer waits for a beginning. */
  long lastStartNanos() {
    long patience = route.patience().toNanos();
    return Math.min(deadlineNanos(), request.receivedNanos() + patience);
  }

  void setDeadline(TimerService.Subscription timer) {
    deadline = requireNonNull(timer, "timer");
  }

  void pool(PoolName chosen) {
    pool = requireNonNull(chosen, "chosen");
  }

  PoolName pool() {
    return pool;
  }

  Set<EndpointId> tried() {
    return tried;
  }

  int attempts() {
    return attempts;
  }

  /** Begins an attempt at an endpoint, after which the request may have run. */
  void begin(RelayAttempt begun) {
    attempt = Optional.of(begun);
    tried.add(begun.endpoint().id());
    attempts++;
    unclearAttempts++;
  }

  /** Notes that the attempt did not even reach its endpoint. */
  void wasNotSent() {
    attempts--;
    unclearAttempts--;
    attempt = Optional.empty();
  }

  /** Notes that the endpoint has stated that it did not run the request. */
  void wasNotRun() {
    unclearAttempts--;
    attempt = Optional.empty();
  }

  /** Tells whether an endpoint may have run the request. */
  boolean mayHaveRun() {
    return unclearAttempts > 0;
  }

  /** Returns a failure, or that the outcome is unknown if an endpoint may have run the request. */
  Failure orUnknown(Failure failure) {
    return mayHaveRun() ? Failure.unknown(FailureType.OUTCOME_UNKNOWN, failure.detail()) : failure;
  }

  void setTicket(String place) {
    ticket = requireNonNull(place, "place");
  }

  /** Returns the name under which it last waited for a place. */
  String ticket() {
    return ticket;
  }

  void awaitResumption(SettablePromise<ChannelSupplier<ByteBuf>> rest) {
    resumption = Optional.of(rest);
  }

  /** Returns who waits for the rest of a broken stream, and forgets it. */
  Optional<SettablePromise<ChannelSupplier<ByteBuf>>> takeResumption() {
    Optional<SettablePromise<ChannelSupplier<ByteBuf>>> taken = resumption;
    resumption = Optional.empty();
    return taken;
  }

  void endAttempt() {
    attempt = Optional.empty();
  }

  Optional<RelayAttempt> attempt() {
    return attempt;
  }

  void streaming(RelayStream begun) {
    stream = Optional.of(begun);
  }

  Optional<RelayStream> stream() {
    return stream;
  }

  boolean isOver() {
    return isOver;
  }

  /** Sets what is done once the call has ended. */
  void whenFinished(Runnable task) {
    whenFinished = requireNonNull(task, "task");
  }

  /** Ends the call; what belongs to it afterwards is dropped. */
  void finish() {
    if (!isOver) {
      isOver = true;
      deadline.cancel();
      whenFinished.run();
    }
  }

  void fail(Failure failure) {
    response.trySetException(failure.toException());
  }
}
