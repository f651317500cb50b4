package org.snipewick.broker;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;

class BrokerCandidatesTest {
  private static final PoolName POOL = PoolName.of("planner");

  /** A weak instance as broker would slow down a whole failure domain. */
  @Test
  void shouldPreferStrongestInstancesOfOwnDomainWhenFleetIsLarge() {
    List<FleetMember> members = members(40);
    List<InstanceId> candidates = candidates(members.get(0), members).of(POOL);
    assertThat(candidates).hasSize(20);
    assertThat(candidates.get(0).value()).isIn("i36", "i38");
    assertThat(candidates.get(19)).isEqualTo(InstanceId.of("i0"));
    assertThat(candidates(members.get(2), members).of(POOL)).isEqualTo(candidates);
  }

  @Test
  void shouldNameOnlyItselfWhenFleetIsSmall() {
    List<FleetMember> members = members(16);
    assertThat(candidates(members.get(3), members).of(POOL)).containsExactly(InstanceId.of("i3"));
  }

  /** One instance as the broker of all pools would use up its share of a core. */
  @Test
  void shouldSpreadPoolsWhenInstancesAreEquallyStrong() {
    List<FleetMember> members = new ArrayList<>();
    for (int index = 0; index < 40; index++) {
      members.add(member(index, OptionalDouble.empty()));
    }
    BrokerCandidates candidates = candidates(members.get(0), members);
    Set<InstanceId> brokers = new HashSet<>();
    for (int pool = 0; pool < 8; pool++) {
      brokers.add(candidates.of(PoolName.of("p" + pool)).get(0));
    }
    assertThat(brokers).hasSizeGreaterThan(3);
  }

  private static BrokerCandidates candidates(FleetMember self, List<FleetMember> members) {
    BrokerCandidates candidates = new BrokerCandidates(self);
    candidates.setMembers(members);
    return candidates;
  }

  /** Returns instances in two domains, of which the later ones have more cores; one tells none. */
  private static List<FleetMember> members(int count) {
    List<FleetMember> members = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      boolean isStrong = index >= count - 4;
      members.add(
          member(
              index,
              index == 0
                  ? OptionalDouble.empty()
                  : OptionalDouble.of(isStrong ? 2 : index * 0.02)));
    }
    return members;
  }

  private static FleetMember member(int index, OptionalDouble cores) {
    return new FleetMember(
        InstanceId.of("i" + index),
        FailureDomain.of("d" + index % 2),
        new InetSocketAddress("127.0.0.1", 1 + index),
        cores);
  }
}
