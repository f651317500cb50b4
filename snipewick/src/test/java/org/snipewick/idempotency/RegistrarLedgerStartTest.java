package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

/** First claims in a failure domain whose members have all just started. */
class RegistrarLedgerStartTest {
  private static final long NOT_HEARD = 0;
  private final KeyCluster cluster = KeyCluster.of();

  @Test
  void shouldGrantWhenAllMembersHaveHeardEachOther() {
    start("a.3", "a.1", "a.2");
    spread("a.2", "a.1", "a.3");
    assertThat(cluster.call("a.1", keyOfFirst()).told()).isEqualTo("Fresh");
  }

  @Test
  void shouldGrantWhenMemberHasNotHeardAnotherThatAnswers() {
    start("a.3");
    cluster.nodes.get("a.3").see(listed("a.2"));
    start("a.1", "a.2");
    spread("a.2", "a.1");
    assertThat(cluster.call("a.1", keyOfFirst()).told()).isEqualTo("Fresh");
  }

  @Test
  void shouldTellUnknownWhenMemberThatIsOnlyListedDoesNotAnswer() {
    start("a.3");
    cluster.nodes.get("a.3").see(listed("a.4"));
    start("a.1", "a.2");
    spread("a.2", "a.1", "a.3");
    assertThat(cluster.call("a.1", keyOfFirst()).told()).isEqualTo("Unknown");
  }

  /** Starts instances; the last one finds that the domain remembers nothing. */
  private void start(String... names) {
    for (String name : names) {
      cluster.join(name, 1);
      spread(name, "a.1");
    }
    cluster.nodes.get(names[names.length - 1]).ledger.proveEmpty();
  }

  /** Lets some instances hear one. */
  private void spread(String heard, String... by) {
    Member member = cluster.nodes.get(heard).member;
    for (String name : by) {
      if (cluster.nodes.containsKey(name)) {
        cluster.nodes.get(name).see(member);
      }
    }
    if (!heard.equals("a.1") && cluster.nodes.containsKey("a.1")) {
      cluster.nodes.get(heard).see(cluster.nodes.get("a.1").member);
    }
  }

  private String keyOfFirst() {
    return cluster.keyRanked("a.1");
  }

  /** Returns a member as the platform's list names it, before its first heartbeat was heard. */
  private static Member listed(String name) {
    return new Member(
        InstanceId.of(name), FailureDomain.of("a"), "127.0.0.1", 1, NOT_HEARD, Member.State.ALIVE);
  }
}
