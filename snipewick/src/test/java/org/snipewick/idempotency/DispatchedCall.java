package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

/** A first call that was dispatched at an instance that is neither registrar nor witness. */
final class DispatchedCall {
  final KeyCluster cluster = KeyCluster.of("a.1", "a.2", "a.3", "a.4");
  final String registrar = "a.1";
  final String witness = "a.2";
  final String entry = "a.3";
  final String key = cluster.keyRanked(registrar, witness, entry);
  final KeyCluster.Attempt first = cluster.call(entry, key).dispatch();

  KeyCluster.Attempt repeat() {
    return repeatAt("a.4");
  }

  KeyCluster.Attempt repeatAt(String name) {
    return cluster.call(name, key);
  }

  KeyCluster.Attempt beginRepeat() {
    return cluster.begin("a.4", key);
  }

  KeyCluster.Attempt await(KeyCluster.Attempt attempt) {
    cluster.advance(Duration.ofSeconds(5));
    return attempt;
  }

  void cutFromOthers(boolean cut) {
    for (String other : new String[] {"a.1", "a.2", "a.4"}) {
      if (cut) {
        cluster.peers.cut(InstanceId.of(entry), InstanceId.of(other));
      } else {
        cluster.peers.heal(InstanceId.of(entry), InstanceId.of(other));
      }
    }
  }

  /** Ends the first call while the others take its entry for dead, and repeats it afterwards. */
  KeyCluster.Attempt cutOffAndHeal(Runnable end) {
    cutFromOthers(true);
    cluster.declareDead(entry);
    assertThat(repeat().told()).isEqualTo("Unknown");
    end.run();
    cluster.advance(Duration.ofSeconds(10));
    cutFromOthers(false);
    cluster.spread(cluster.nodes.get(entry).member, Member.State.ALIVE);
    return repeat();
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
