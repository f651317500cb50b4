package org.snipewick.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

class MemberTableTest {
  private static final FailureDomain LINZ = FailureDomain.of("linz");
  private static final InstanceId FIRST = InstanceId.of("linz.1");
  private static final InstanceId SECOND = InstanceId.of("linz.2");

  private final MemberTable table =
      new MemberTable(claim("wien.1", "wien", 1), MembershipSettings.defaults());

  /**
   * Guards against an undetected cut: linz.2 reports its domain before it has received the claim of
   * linz.1, and the domain is cut off before it reports again.
   */
  @Test
  void shouldConsiderUnreportedMemberDeadWhenItsDomainTimesOut() {
    table.merge(claim("linz.1", "linz", 5), 0, 0);
    table.merge(claim("linz.2", "linz", 6), 0, 0);
    table.retainReported(LINZ, Set.of(SECOND), 0);
    assertThat(stateOf(FIRST, Set.of())).isEmpty();
    assertThat(stateOf(FIRST, Set.of(LINZ))).contains(Member.State.DEAD);
    assertThat(table.claimsOf(LINZ)).extracting(MemberClaim::id).containsExactly(SECOND);
  }

  @Test
  void shouldAddUnreportedMemberAgainWhenItIsReportedLater() {
    table.merge(claim("linz.1", "linz", 5), 0, 0);
    table.retainReported(LINZ, Set.of(SECOND), 0);
    assertThat(table.merge(claim("linz.1", "linz", 5), 0, 0)).isTrue();
    assertThat(stateOf(FIRST, Set.of())).contains(Member.State.ALIVE);
  }

  @Test
  void shouldRemoveUnreportedMemberWhenItHasEnded() {
    table.merge(claim("linz.1", "linz", 5).withStatus(MemberClaim.Status.DEPARTED), 0, 0);
    table.retainReported(LINZ, Set.of(SECOND), 0);
    assertThat(table.find(FIRST)).isEmpty();
  }

  private Optional<Member.State> stateOf(InstanceId member, Set<FailureDomain> timedOut) {
    return table.view(timedOut).find(member).map(Member::state);
  }

  private static MemberClaim claim(String id, String domain, long incarnation) {
    return new MemberClaim(
        InstanceId.of(id),
        FailureDomain.of(domain),
        "127.0.0.1",
        7_600,
        incarnation,
        0,
        MemberClaim.Status.ALIVE);
  }
}
