package org.snipewick.bench.soak;

import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;

/** Trouble that comes to a cluster from outside of its processes. */
sealed interface Fault {

  /** Brings the fault about. */
  void begin(Cluster cluster, Links links);

  /** Ends the fault; an instance that has died is started again. */
  void end(Cluster cluster, Links links);

  /** Returns what is struck; one fault at a time strikes it. */
  String target();

  /** An instance dies, and perhaps once more while it starts again. */
  record Kill(String target, boolean again) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(target).kill();
      if (again) {
        cluster.launch(target);
      }
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(target).kill();
      cluster.launch(target);
    }
  }

  /** An instance stops as planned and is started again. */
  record PlannedStop(String target) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(target).terminate();
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(target).awaitExit();
      cluster.launch(target);
    }
  }

  /** A process, of an instance or an endpoint, stands still. */
  record Pause(String target) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(target).pause();
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(target).resume();
    }
  }

  /** Two sides lose each other, or one of them loses the other. */
  record LinkCut(String one, String other, Cut cut) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      switch (cut) {
        case SILENT -> links.cut(one, other);
        case CLOSING -> links.sever(one, other);
        case FORTH -> links.cutOneWay(one, other);
        case BACK -> links.cutOneWay(other, one);
      }
    }

    @Override
    public void end(Cluster cluster, Links links) {
      links.heal(one, other);
    }

    @Override
    public String target() {
      return one + " to " + other;
    }
  }

  /** How a link is cut: bytes held back on both ways, connections closed, bytes held on one way. */
  enum Cut {
    SILENT,
    CLOSING,
    FORTH,
    BACK
  }

  /** The platform or an endpoint misbehaves. */
  record Misbehaviour(String target, String faults) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.faults(target, faults);
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.faults(target, "{}");
    }
  }
}
