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
 * A call that is being processed by the chain of filters. A filter that adds attributes passes on a
 * copy with them. The order of the filters guarantees that each attribute is set before a filter
 * reads it.
 *
 * @param id identifier of the call and of its dispatch
 * @param request what the caller sent
 * @param receivedNanos time of receipt by the monotonic clock, in nanoseconds
 * @param lifecycle state of the call, shared by all copies
 * @param clients endpoint clients on the event loop of the caller's connection
 * @param attributes attributes that the filters have added
 */
public record CallContext(
    RequestId id,
    CallerRequest request,
    long receivedNanos,
    CallLifecycle lifecycle,
    EndpointClients clients,
    Attributes attributes) {

  /** Checks that no component is null. */
  public CallContext {
    requireNonNull(id, "id");
    requireNonNull(request, "request");
    requireNonNull(lifecycle, "lifecycle");
    requireNonNull(clients, "clients");
    requireNonNull(attributes, "attributes");
  }

  /**
   * Returns the context of a new call.
   *
   * @param id identifier of the call
   * @param request what the caller sent
   * @param receivedNanos time of receipt by the monotonic clock, in nanoseconds
   * @param clients endpoint clients on the event loop of the caller's connection
   * @return context without attributes
   */
  public static CallContext of(
      RequestId id, CallerRequest request, long receivedNanos, EndpointClients clients) {
    return new CallContext(
        id, request, receivedNanos, CallLifecycle.create(), clients, Attributes.empty());
  }

  /**
   * Returns this context with the caller's team.
   *
   * @param team catalogue entry of the team
   * @return changed copy
   */
  public CallContext withTeam(Entry.Team team) {
    return withAttributes(
        new Attributes(
            Optional.of(team),
            attributes.target,
            attributes.tier,
            attributes.key,
            attributes.deadlineNanos,
            attributes.permit));
  }

  /**
   * Returns this context with target and idempotency key of the request.
   *
   * @param target model or service
   * @param key idempotency key, empty if none was given
   * @return changed copy
   */
  public CallContext withTarget(Target target, Optional<String> key) {
    return withAttributes(
        new Attributes(
            attributes.team,
            Optional.of(target),
            attributes.tier,
            key,
            attributes.deadlineNanos,
            attributes.permit));
  }

  /**
   * Returns this context with tier and deadline.
   *
   * @param tier tier of the request
   * @param deadlineNanos when the answer must be complete, by the monotonic clock, in nanoseconds
   * @return changed copy
   */
  public CallContext withTierAndDeadline(Tier tier, long deadlineNanos) {
    return withAttributes(
        new Attributes(
            attributes.team,
            attributes.target,
            Optional.of(tier),
            attributes.key,
            deadlineNanos,
            attributes.permit));
  }

  /**
   * Returns this context with a permit to dispatch.
   *
   * @param permit permit
   * @return changed copy
   */
  public CallContext withPermit(PoolClient.Permit permit) {
    return withAttributes(
        new Attributes(
            attributes.team,
            attributes.target,
            attributes.tier,
            attributes.key,
            attributes.deadlineNanos,
            Optional.of(permit)));
  }

  /**
   * Returns the name of the caller's team.
   *
   * @return name of the team
   * @throws java.util.NoSuchElementException if the team is not set yet
   */
  public TeamName team() {
    return TeamName.of(teamEntry().name());
  }

  /**
   * Returns the caller's team.
   *
   * @return catalogue entry of the team
   * @throws java.util.NoSuchElementException if the team is not set yet
   */
  public Entry.Team teamEntry() {
    return attributes.team.orElseThrow();
  }

  /**
   * Returns the target of the request.
   *
   * @return model or service
   * @throws java.util.NoSuchElementException if the target is not set yet
   */
  public Target target() {
    return attributes.target.orElseThrow();
  }

  /**
   * Returns the tier of the request.
   *
   * @return tier
   * @throws java.util.NoSuchElementException if the tier is not set yet
   */
  public Tier tier() {
    return attributes.tier.orElseThrow();
  }

  /**
   * Returns the idempotency key.
   *
   * @return key, empty if none was given
   */
  public Optional<String> key() {
    return attributes.key;
  }

  /**
   * Returns when the answer must be complete.
   *
   * @return deadline by the monotonic clock, in nanoseconds; 0 if it is not set yet
   */
  public long deadlineNanos() {
    return attributes.deadlineNanos;
  }

  /**
   * Returns the permit to dispatch.
   *
   * @return permit
   * @throws java.util.NoSuchElementException if the permit is not set yet
   */
  public PoolClient.Permit permit() {
    return attributes.permit.orElseThrow();
  }

  private CallContext withAttributes(Attributes changed) {
    return new CallContext(id, request, receivedNanos, lifecycle, clients, changed);
  }

  /**
   * Attributes of a call that filters add.
   *
   * @param team catalogue entry of the caller's team
   * @param target model or service
   * @param tier tier of the request
   * @param key idempotency key, empty if none was given
   * @param deadlineNanos when the answer must be complete, by the monotonic clock, in nanoseconds;
   *     0 if it is not set yet
   * @param permit permit to dispatch
   */
  public record Attributes(
      Optional<Entry.Team> team,
      Optional<Target> target,
      Optional<Tier> tier,
      Optional<String> key,
      long deadlineNanos,
      Optional<PoolClient.Permit> permit) {

    private static Attributes empty() {
      return new Attributes(
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          0,
          Optional.empty());
    }
  }
}
