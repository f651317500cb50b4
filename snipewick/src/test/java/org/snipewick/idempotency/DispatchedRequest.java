package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

/**
 * Cluster with a first request that an entry instance, neither registrar nor witness, dispatched.
 */
final class DispatchedRequest {
  final KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3", "a.4");
  final String registrar = "a.1";
  final String witness = "a.2";
  final String entry = "a.3";
  final String key = cluster.keyRanked(registrar, witness, entry);
  final KeyCluster.ClaimAttempt first = cluster.claim(entry, key).dispatch();

  KeyCluster.ClaimAttempt duplicate() {
    return duplicateAt("a.4");
  }

  KeyCluster.ClaimAttempt duplicateAt(String name) {
    return cluster.claim(name, key);
  }

  KeyCluster.ClaimAttempt beginDuplicate() {
    return cluster.beginClaim("a.4", key);
  }

  KeyCluster.ClaimAttempt await(KeyCluster.ClaimAttempt attempt) {
    cluster.advance(Duration.ofSeconds(5));
    return attempt;
  }

  void cutEntryFromOthers(boolean cut) {
    for (String other : new String[] {"a.1", "a.2", "a.4"}) {
      if (cut) {
        cluster.peers.cut(InstanceId.of(entry), InstanceId.of(other));
      } else {
        cluster.peers.heal(InstanceId.of(entry), InstanceId.of(other));
      }
    }
  }

  /**
   * Cuts off the entry instance, ends the first request while the others consider that instance
   * dead, reconnects it and returns a duplicate request.
   */
  KeyCluster.ClaimAttempt cutOffAndHeal(Runnable end) {
    cutEntryFromOthers(true);
    cluster.declareDead(entry);
    assertThat(duplicate().result()).isEqualTo("Unknown");
    end.run();
    cluster.advance(Duration.ofSeconds(10));
    cutEntryFromOthers(false);
    cluster.updateViews(cluster.nodes.get(entry).member, Member.State.ALIVE);
    return duplicate();
  }

  /** Stops an instance as planned, after its handover; the entry instance keeps running. */
  void leave(String name) {
    KeyCluster.Node node = cluster.nodes.get(name);
    cluster.updateViews(node.member, Member.State.LEAVING);
    var handedOver = node.ledger.handOver();
    cluster.advance(Duration.ofSeconds(1));
    assertThat(handedOver).isCompleted();
    if (!name.equals(entry)) {
      cluster.crash(name);
      cluster.updateViews(node.member, Member.State.DEAD);
    }
  }
}
