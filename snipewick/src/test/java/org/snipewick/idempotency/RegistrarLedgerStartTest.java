package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

/**
 * First claims in a failure domain whose members have all just started: a.3 first, then a.1, then
 * a.2, which inserted the marker row, so that its coverage is marked as initially empty. The
 * registrar of the key is a.1.
 */
class RegistrarLedgerStartTest {
  private static final long UNKNOWN_INCARNATION = 0;
  private final KeyCluster cluster = KeyCluster.of();

  @Test
  void shouldGrantWhenAllMembersReceivedHeartbeatsOfEachOther() {
    cluster.join("a.3", 1);
    joinOthers();
    updateView("a.3", "a.2");
    assertThat(firstClaim()).isEqualTo("Fresh");
  }

  @Test
  void shouldGrantWhenMemberKnownFromListAloneReplies() {
    cluster.join("a.3", 1).updateView(listed("a.2"));
    joinOthers();
    assertThat(firstClaim()).isEqualTo("Fresh");
  }

  @Test
  void shouldReturnUnknownWhenMemberKnownFromListAloneDoesNotReply() {
    cluster.join("a.3", 1).updateView(listed("a.4"));
    joinOthers();
    assertThat(firstClaim()).isEqualTo("Unknown");
  }

  /** Starts a.1 and a.2; adds a.2 to the view of a.1, and a.1 but not a.2 to the view of a.3. */
  private void joinOthers() {
    cluster.join("a.1", 1);
    cluster.join("a.2", 1).ledger.markInitiallyEmpty();
    updateView("a.1", "a.2");
    updateView("a.3", "a.1");
  }

  private void updateView(String observer, String other) {
    cluster.nodes.get(observer).updateView(cluster.nodes.get(other).member);
  }

  private String firstClaim() {
    return cluster.claim("a.1", cluster.keyRanked("a.1")).result();
  }

  /** Returns a member as known from the platform's list, before its first heartbeat is received. */
  private static Member listed(String name) {
    return new Member(
        InstanceId.of(name),
        FailureDomain.of("a"),
        "127.0.0.1",
        1,
        UNKNOWN_INCARNATION,
        Member.State.ALIVE);
  }
}
