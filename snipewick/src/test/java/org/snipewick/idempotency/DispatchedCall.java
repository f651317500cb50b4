package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

/**
 * First request with a key, dispatched by an entry instance that is neither registrar nor witness.
 */
final class DispatchedCall {
  final KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3", "a.4");
  final String registrar = "a.1";
  final String witness = "a.2";
  final String entry = "a.3";
  final String key = cluster.keyRanked(registrar, witness, entry);
  final KeyCluster.Attempt first = cluster.call(entry, key).dispatch();

  KeyCluster.Attempt duplicate() {
    return duplicateAt("a.4");
  }

  KeyCluster.Attempt duplicateAt(String name) {
    return cluster.call(name, key);
  }

  KeyCluster.Attempt beginDuplicate() {
    return cluster.begin("a.4", key);
  }

  KeyCluster.Attempt await(KeyCluster.Attempt attempt) {
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
  KeyCluster.Attempt cutOffAndHeal(Runnable end) {
    cutEntryFromOthers(true);
    cluster.declareDead(entry);
    assertThat(duplicate().result()).isEqualTo("Unknown");
    end.run();
    cluster.advance(Duration.ofSeconds(10));
    cutEntryFromOthers(false);
    cluster.spread(cluster.nodes.get(entry).member, Member.State.ALIVE);
    return duplicate();
  }

  void leave(String name) {
    KeyCluster.Node node = cluster.nodes.get(name);
    cluster.spread(node.member, Member.State.LEAVING);
    var handedOver = node.ledger.handOver();
    cluster.advance(Duration.ofSeconds(1));
    assertThat(handedOver).isCompleted();
    if (!name.equals(entry)) {
      cluster.crash(name);
      cluster.spread(node.member, Member.State.DEAD);
    }
  }
}
