package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.catalogue.Entry;
import org.snipewick.endpoint.EndpointClients;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.pool.PoolClient;

/**
 * What is known of a call on its way through the filters. Filters fill in what they find out; the
 * parts that a filter needs are there because of its place in the chain.
 *
 * @param id identifier of the call and of its dispatch
 * @param request what the caller sent
 * @param receivedNanos when it was received, by the monotonic clock, in nanoseconds
 * @param lifecycle race between dispatch and giving up
 * @param clients clients of the endpoints on the event loop of the caller's connection
 * @param known what the filters found out
 */
public record CallContext(
    RequestId id,
    CallerRequest request,
    long receivedNanos,
    CallLifecycle lifecycle,
    EndpointClients clients,
    Known known) {

  /** Checks the parts. */
  public CallContext {
    requireNonNull(id, "id");
    requireNonNull(request, "request");
    requireNonNull(lifecycle, "lifecycle");
    requireNonNull(clients, "clients");
    requireNonNull(known, "known");
  }

  /**
   * Returns the context of a new call.
   *
   * @param id identifier of the call
   * @param request what the caller sent
   * @param receivedNanos when it was received, by the monotonic clock, in nanoseconds
   * @param clients clients of the endpoints
   * @return context without anything found out
   */
  public static CallContext of(
      RequestId id, CallerRequest request, long receivedNanos, EndpointClients clients) {
    return new CallContext(
        id, request, receivedNanos, CallLifecycle.create(), clients, Known.empty());
  }

  /**
   * Returns this context with the caller's team.
   *
   * @param team entry of the team
   * @return changed copy
   */
  public CallContext withTeam(Entry.Team team) {
    return withKnown(
        new Known(
            Optional.of(team),
            known.target,
            known.tier,
            known.key,
            known.deadlineNanos,
            known.permit));
  }

  /**
   * Returns this context with what the request is for.
   *
   * @param target model or service
   * @param key idempotency key, empty if none was given
   * @return changed copy
   */
  public CallContext withTarget(Target target, Optional<String> key) {
    return withKnown(
        new Known(
            known.team, Optional.of(target), known.tier, key, known.deadlineNanos, known.permit));
  }

  /**
   * Returns this context with class and deadline.
   *
   * @param tier class of the request
   * @param deadlineNanos when the answer must be complete, by the monotonic clock
   * @return changed copy
   */
  public CallContext withAgreement(Tier tier, long deadlineNanos) {
    return withKnown(
        new Known(
            known.team, known.target, Optional.of(tier), known.key, deadlineNanos, known.permit));
  }

  /**
   * Returns this context with permission to dispatch.
   *
   * @param permit permission
   * @return changed copy
   */
  public CallContext withPermit(PoolClient.Permit permit) {
    return withKnown(
        new Known(
            known.team,
            known.target,
            known.tier,
            known.key,
            known.deadlineNanos,
            Optional.of(permit)));
  }

  /**
   * Returns the name of the caller's team.
   *
   * @return team
   */
  public TeamName team() {
    return TeamName.of(teamEntry().name());
  }

  /**
   * Returns the caller's team.
   *
   * @return entry of the team
   */
  public Entry.Team teamEntry() {
    return known.team.orElseThrow();
  }

  /**
   * Returns what the request is for.
   *
   * @return model or service
   */
  public Target target() {
    return known.target.orElseThrow();
  }

  /**
   * Returns the class of the request.
   *
   * @return tier
   */
  public Tier tier() {
    return known.tier.orElseThrow();
  }

  /**
   * Returns the idempotency key.
   *
   * @return key, empty if none was given
   */
  public Optional<String> key() {
    return known.key;
  }

  /**
   * Returns when the answer must be complete.
   *
   * @return monotonic clock, in nanoseconds
   */
  public long deadlineNanos() {
    return known.deadlineNanos;
  }

  /**
   * Returns the permission to dispatch.
   *
   * @return permit
   */
  public PoolClient.Permit permit() {
    return known.permit.orElseThrow();
  }

  private CallContext withKnown(Known changed) {
    return new CallContext(id, request, receivedNanos, lifecycle, clients, changed);
  }

  /**
   * What the filters found out.
   *
   * @param team caller's team
   * @param target model or service
   * @param tier class
   * @param key idempotency key
   * @param deadlineNanos when the answer must be complete, by the monotonic clock
   * @param permit permission to dispatch
   */
  public record Known(
      Optional<Entry.Team> team,
      Optional<Target> target,
      Optional<Tier> tier,
      Optional<String> key,
      long deadlineNanos,
      Optional<PoolClient.Permit> permit) {

    private static Known empty() {
      return new Known(
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          0,
          Optional.empty());
    }
  }
}
