package org.snipewick.bench.soak;

import java.util.Set;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;

/** Trouble that comes to a cluster from outside of its processes. */
sealed interface Fault {

  /** Brings the fault about. */
  void begin(Cluster cluster, Links links);

  /** Ends the fault; an instance that has died is started again. */
  void end(Cluster cluster, Links links);

  /** Returns what is struck; one fault at a time strikes it. */
  Set<String> targets();

  /** An instance dies, and perhaps once more while it starts again. */
  record Kill(String instance, boolean again) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(instance).kill();
      if (again) {
        cluster.launch(instance);
      }
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(instance).kill();
      cluster.launch(instance);
    }

    @Override
    public Set<String> targets() {
      return Set.of(instance);
    }
  }

  /** An instance stops as planned and is started again. */
  record PlannedStop(String instance) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(instance).terminate();
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(instance).awaitExit();
      cluster.launch(instance);
    }

    @Override
    public Set<String> targets() {
      return Set.of(instance);
    }
  }

  /** A process, of an instance or an endpoint, stands still. */
  record Pause(String process) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(process).pause();
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(process).resume();
    }

    @Override
    public Set<String> targets() {
      return Set.of(process);
    }
  }

  /** Two sides lose each other: connections hang, or are closed. */
  record LinkCut(String one, String other, boolean silent) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      if (silent) {
        links.cut(one, other);
      } else {
        links.sever(one, other);
      }
    }

    @Override
    public void end(Cluster cluster, Links links) {
      links.heal(one, other);
    }

    @Override
    public Set<String> targets() {
      return Set.of(one + " to " + other);
    }
  }

  /** The platform or an endpoint misbehaves. */
  record Misbehaviour(String standIn, String faults) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.faults(standIn, faults);
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.faults(standIn, "{}");
    }

    @Override
    public Set<String> targets() {
      return Set.of(standIn);
    }
  }
}
