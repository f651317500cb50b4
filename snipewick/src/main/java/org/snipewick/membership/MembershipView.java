package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/**
 * Immutable snapshot of the members and their states, as assumed by one of them.
 *
 * @param self the local instance
 * @param members members by name
 */
public record MembershipView(InstanceId self, Map<InstanceId, Member> members) {

  /**
   * Copies the members.
   *
   * @throws IllegalArgumentException if the members do not contain the local instance
   */
  public MembershipView {
    requireNonNull(self, "self");
    members = Map.copyOf(members);
    if (!members.containsKey(self)) {
      throw new IllegalArgumentException("view does not contain the local instance " + self);
    }
  }

  /**
   * Returns a view of the given members.
   *
   * @param self the local instance
   * @param members all members, the local instance included
   * @return view
   */
  public static MembershipView ofAll(InstanceId self, Collection<Member> members) {
    return new MembershipView(
        self, members.stream().collect(Collectors.toMap(Member::id, member -> member)));
  }

  /**
   * Returns the failure domain of the local instance.
   *
   * @return local failure domain
   */
  public FailureDomain localDomain() {
    return members.get(self).domain();
  }

  /**
   * Finds a member.
   *
   * @param id name of the instance
   * @return member, empty if the view does not contain it
   */
  public Optional<Member> find(InstanceId id) {
    return Optional.ofNullable(members.get(id));
  }

  /**
   * Returns whether the view contains a member that is not dead.
   *
   * @param id name of the instance
   * @return whether it is alive or leaving
   */
  public boolean isReachable(InstanceId id) {
    return find(id).filter(member -> member.state() != Member.State.DEAD).isPresent();
  }

  /**
   * Returns the members of a domain that are not dead, in order of their names.
   *
   * @param domain failure domain
   * @return alive and leaving members
   */
  public List<Member> reachableIn(FailureDomain domain) {
    return members.values().stream()
        .filter(member -> member.domain().equals(domain))
        .filter(member -> member.state() != Member.State.DEAD)
        .sorted(Comparator.comparing(Member::id))
        .toList();
  }

  /**
   * Returns the members of a domain that may be assigned responsibilities, in order of their names.
   *
   * @param domain failure domain
   * @return alive members
   */
  public List<Member> aliveIn(FailureDomain domain) {
    return reachableIn(domain).stream()
        .filter(member -> member.state() == Member.State.ALIVE)
        .toList();
  }

  /**
   * Groups all members by failure domain, dead ones included.
   *
   * @return members by domain, in order of the domains' names
   */
  public Map<FailureDomain, List<Member>> byDomain() {
    return members.values().stream()
        .collect(Collectors.groupingBy(Member::domain, TreeMap::new, Collectors.toList()));
  }
}
