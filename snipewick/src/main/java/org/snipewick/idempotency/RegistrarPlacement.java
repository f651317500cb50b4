package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;
import org.snipewick.time.TimerService;

/**
 * Assigns each key to a home domain and, in that domain, to a registrar and to witnesses, and
 * tracks since when this instance has been the registrar of a key. The registrar is the alive
 * member that ranks first for the key by rendezvous hashing; it decides claims of the key. The
 * witnesses are the other alive members in the order of their rank; one of them stores a second
 * copy of a claim.
 */
final class RegistrarPlacement {
  private final Membership membership;
  private final TimerService timer;
  private final long retentionMillis;
  private final List<FailureDomain> homeDomains;
  private final AtomicReference<List<ViewPeriod>> viewPeriods;

  private RegistrarPlacement(Membership membership, TimerService timer, LedgerSettings settings) {
    this.membership = requireNonNull(membership, "membership");
    this.timer = requireNonNull(timer, "timer");
    this.retentionMillis = settings.keyRetention().toMillis();
    this.homeDomains = settings.homeDomains().stream().sorted().toList();
    this.viewPeriods =
        new AtomicReference<>(List.of(new ViewPeriod(0, aliveInstances(membership.view()))));
  }

  static RegistrarPlacement of(Membership membership, TimerService timer, LedgerSettings settings) {
    RegistrarPlacement placement = new RegistrarPlacement(membership, timer, settings);
    membership.subscribe((before, after) -> placement.recordView(after));
    return placement;
  }

  /**
   * Returns the home domain of a key, in which its records are kept: the domain whose name and a
   * dot begin the key, or else the domain that ranks first for the key. It does not depend on which
   * instances are alive.
   */
  FailureDomain home(KeyedRequest request) {
    MembershipView view = membership.view();
    List<FailureDomain> domains =
        homeDomains.isEmpty() ? List.copyOf(view.byDomain().keySet()) : homeDomains;
    return domains.stream()
        .filter(domain -> request.key().startsWith(domain + "."))
        .findFirst()
        .or(() -> Rendezvous.first(request.scopedKey(), domains, FailureDomain::value))
        .orElseGet(view::localDomain);
  }

  /** Returns the registrar of a key in a domain by the current view; empty if none is alive. */
  Optional<InstanceId> registrar(FailureDomain home, String key) {
    return rank(home, key).stream().findFirst();
  }

  /** Returns the other alive members of the local domain, preferred witnesses of the key first. */
  List<InstanceId> witnesses(String key) {
    InstanceId self = membership.view().self();
    return rank(membership.view().localDomain(), key).stream()
        .filter(instance -> !instance.equals(self))
        .toList();
  }

  /** Returns the other reachable members of the local domain. */
  List<InstanceId> otherMembers() {
    MembershipView view = membership.view();
    return view.reachableIn(view.localDomain()).stream()
        .map(Member::id)
        .filter(instance -> !instance.equals(view.self()))
        .toList();
  }

  /** Returns whether this instance is active and the registrar of a key by the current view. */
  boolean mayActAsRegistrar(String key) {
    MembershipView view = membership.view();
    return membership.isActive()
        && registrar(view.localDomain(), key).filter(view.self()::equals).isPresent();
  }

  /** Returns whether one instance ranks before another for a key. */
  boolean precedes(InstanceId one, InstanceId other, String key) {
    return Rendezvous.first(key, List.of(one, other), InstanceId::value)
        .filter(one::equals)
        .isPresent();
  }

  /**
   * Returns the time since which this instance has been the active registrar of a key, in
   * milliseconds since the Unix epoch; the current time if it is not the registrar.
   */
  long registrarSinceEpochMillis(String key) {
    InstanceId self = membership.view().self();
    List<ViewPeriod> history = viewPeriods.get();
    long sinceEpochMillis = timer.epochMillis();
    for (int i = history.size() - 1; i >= 0; i--) {
      ViewPeriod period = history.get(i);
      if (Rendezvous.first(key, period.alive(), InstanceId::value).filter(self::equals).isEmpty()) {
        break;
      }
      sinceEpochMillis = period.sinceEpochMillis();
    }
    return Math.max(sinceEpochMillis, membership.activeSinceEpochMillis());
  }

  /**
   * Returns whether this instance would have a record of a key if it had been claimed before. This
   * is so if the key was created after this instance became its registrar, or if this instance has
   * been its registrar for the retention time.
   */
  boolean hasSeenAllClaimsOf(String key) {
    long nowEpochMillis = timer.epochMillis();
    long sinceEpochMillis = registrarSinceEpochMillis(key);
    OptionalLong createdAtEpochMillis = KeyAge.plausibleCreatedAtEpochMillis(key, nowEpochMillis);
    boolean createdSince =
        createdAtEpochMillis.isPresent()
            && createdAtEpochMillis.getAsLong() > sinceEpochMillis + KeyAge.MAX_CLOCK_SKEW_MILLIS;
    return createdSince || nowEpochMillis >= sinceEpochMillis + retentionMillis;
  }

  private List<InstanceId> rank(FailureDomain home, String key) {
    return Rendezvous.rank(key, aliveInstances(membership.view(), home), InstanceId::value);
  }

  private void recordView(MembershipView view) {
    List<InstanceId> alive = aliveInstances(view);
    viewPeriods.updateAndGet(
        history ->
            history.get(history.size() - 1).alive().equals(alive)
                ? history
                : append(history, new ViewPeriod(timer.epochMillis(), alive)));
  }

  private List<ViewPeriod> append(List<ViewPeriod> history, ViewPeriod latest) {
    long oldestEpochMillis = latest.sinceEpochMillis() - retentionMillis;
    List<ViewPeriod> retained = new ArrayList<>();
    for (int i = 0; i < history.size(); i++) {
      boolean expired =
          i + 1 < history.size() && history.get(i + 1).sinceEpochMillis() < oldestEpochMillis;
      if (!expired) {
        retained.add(history.get(i));
      }
    }
    retained.add(latest);
    return List.copyOf(retained);
  }

  private static List<InstanceId> aliveInstances(MembershipView view) {
    return aliveInstances(view, view.localDomain());
  }

  private static List<InstanceId> aliveInstances(MembershipView view, FailureDomain domain) {
    return view.aliveIn(domain).stream().map(Member::id).toList();
  }

  /** Period during which the same members of the local domain were alive. */
  private record ViewPeriod(long sinceEpochMillis, List<InstanceId> alive) {}
}
