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

/** Which instance remembers a key, who is its witness, and since when that has been so. */
final class RegistrarPlacement {
  private final Membership membership;
  private final TimerService timer;
  private final long retentionMillis;
  private final List<FailureDomain> homeDomains;
  private final AtomicReference<List<Epoch>> epochs;

  private RegistrarPlacement(Membership membership, TimerService timer, LedgerSettings settings) {
    this.membership = requireNonNull(membership, "membership");
    this.timer = requireNonNull(timer, "timer");
    this.retentionMillis = settings.keyRetention().toMillis();
    this.homeDomains = settings.homeDomains().stream().sorted().toList();
    this.epochs = new AtomicReference<>(List.of(new Epoch(0, aliveNames(membership.view()))));
  }

  static RegistrarPlacement of(Membership membership, TimerService timer, LedgerSettings settings) {
    RegistrarPlacement placement = new RegistrarPlacement(membership, timer, settings);
    membership.subscribe((before, after) -> placement.record(after));
    return placement;
  }

  /** Returns the domain in which a key is remembered; it does not move with liveness. */
  FailureDomain home(KeyedRequest request) {
    MembershipView view = membership.view();
    List<FailureDomain> domains =
        homeDomains.isEmpty() ? List.copyOf(view.byDomain().keySet()) : homeDomains;
    return domains.stream()
        .filter(domain -> request.key().startsWith(domain + "."))
        .findFirst()
        .or(() -> Rendezvous.first(request.scopedKey(), domains, FailureDomain::value))
        .orElseGet(view::ownDomain);
  }

  /** Returns the registrar of a key in a domain, by the current view. */
  Optional<InstanceId> registrar(FailureDomain home, String key) {
    return rank(home, key).stream().findFirst();
  }

  /** Lists the other members of the own domain in the order in which they serve as witness. */
  List<InstanceId> witnesses(String key) {
    InstanceId self = membership.view().self();
    return rank(membership.view().ownDomain(), key).stream()
        .filter(instance -> !instance.equals(self))
        .toList();
  }

  /** Lists the other members of the own domain that may answer. */
  List<InstanceId> others() {
    MembershipView view = membership.view();
    return view.reachableIn(view.ownDomain()).stream()
        .map(Member::id)
        .filter(instance -> !instance.equals(view.self()))
        .toList();
  }

  /** Tells whether this instance is registrar of a key and may act as such at this moment. */
  boolean mayActAsRegistrar(String key) {
    MembershipView view = membership.view();
    return membership.hasStanding()
        && registrar(view.ownDomain(), key).filter(view.self()::equals).isPresent();
  }

  /** Tells whether one instance precedes another in the rank of a key. */
  boolean precedes(InstanceId one, InstanceId other, String key) {
    return Rendezvous.first(key, List.of(one, other), InstanceId::value)
        .filter(one::equals)
        .isPresent();
  }

  /** Returns since when this instance has been registrar of a key, in epoch milliseconds. */
  long registrarSinceEpochMillis(String key) {
    InstanceId self = membership.view().self();
    List<Epoch> history = epochs.get();
    long since = timer.epochMillis();
    for (int i = history.size() - 1; i >= 0; i--) {
      Epoch epoch = history.get(i);
      if (Rendezvous.first(key, epoch.alive(), InstanceId::value).filter(self::equals).isEmpty()) {
        break;
      }
      since = epoch.sinceEpochMillis();
    }
    return Math.max(since, membership.standingSinceEpochMillis());
  }

  /** Tells whether this instance would know a key if it had been claimed before. */
  boolean knowsAllClaimsOf(String key) {
    long now = timer.epochMillis();
    long since = registrarSinceEpochMillis(key);
    OptionalLong created = KeyAge.credibleAtEpochMillis(key, now);
    boolean newer = created.isPresent() && created.getAsLong() > since + KeyAge.CLOCK_MARGIN_MILLIS;
    return newer || now >= since + retentionMillis;
  }

  private List<InstanceId> rank(FailureDomain home, String key) {
    return Rendezvous.rank(key, aliveNames(membership.view(), home), InstanceId::value);
  }

  private void record(MembershipView view) {
    List<InstanceId> alive = aliveNames(view);
    epochs.updateAndGet(
        history ->
            history.get(history.size() - 1).alive().equals(alive)
                ? history
                : append(history, new Epoch(timer.epochMillis(), alive)));
  }

  private List<Epoch> append(List<Epoch> history, Epoch latest) {
    long oldest = latest.sinceEpochMillis() - retentionMillis;
    List<Epoch> kept = new ArrayList<>();
    for (int i = 0; i < history.size(); i++) {
      boolean ended = i + 1 < history.size() && history.get(i + 1).sinceEpochMillis() < oldest;
      if (!ended) {
        kept.add(history.get(i));
      }
    }
    kept.add(latest);
    return List.copyOf(kept);
  }

  private static List<InstanceId> aliveNames(MembershipView view) {
    return aliveNames(view, view.ownDomain());
  }

  private static List<InstanceId> aliveNames(MembershipView view, FailureDomain domain) {
    return view.aliveIn(domain).stream().map(Member::id).toList();
  }

  private record Epoch(long sinceEpochMillis, List<InstanceId> alive) {}
}
