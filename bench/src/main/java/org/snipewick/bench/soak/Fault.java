package org.snipewick.bench.soak;

import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;

/** A fault that is injected into a cluster from outside of its processes. */
sealed interface Fault {

  /** Injects the fault. */
  void begin(Cluster cluster, Links links);

  /** Removes the fault; an instance that was killed or stopped is started again. */
  void end(Cluster cluster, Links links);

  /** Returns the process or link concerned; it has at most one fault at a time. */
  String target();

  /** An instance is killed, and if {@code again} is set once more while it restarts. */
  record Kill(String target, boolean again) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(target).kill();
      if (again) {
        cluster.startEntry(target);
      }
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(target).kill();
      cluster.startEntry(target);
    }
  }

  /** An instance is stopped as planned and started again. */
  record PlannedStop(String target) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(target).terminate();
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(target).awaitExit();
      cluster.startEntry(target);
    }
  }

  /** A process, of an instance or an endpoint, is paused. */
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

  /** The link between two sides is cut, in both directions or in one. */
  record LinkCut(String one, String other, Cut cut) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cut.apply(links, one, other);
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

  /** How a link between two sides is cut. */
  enum Cut {
    /** Bytes are held back in both directions. */
    SILENT {
      @Override
      void apply(Links links, String one, String other) {
        links.cut(one, other);
      }
    },
    /** Connections are closed. */
    CLOSING {
      @Override
      void apply(Links links, String one, String other) {
        links.cutAndClose(one, other);
      }
    },
    /** Bytes are held back in the direction from one side to the other. */
    FORTH {
      @Override
      void apply(Links links, String one, String other) {
        links.cutOneWay(one, other);
      }
    },
    /** Bytes are held back in the direction from the other side to the one. */
    BACK {
      @Override
      void apply(Links links, String one, String other) {
        links.cutOneWay(other, one);
      }
    };

    abstract void apply(Links links, String one, String other);
  }

  /** The platform or an endpoint has faults, given as JSON. */
  record Misbehaviour(String target, String faults) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.setFaults(target, faults);
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.setFaults(target, "{}");
    }
  }
}
